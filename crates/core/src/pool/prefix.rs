//! Index of hints on which runner caches which prompt prefix.
//!
//! Cache events of engines may arrive late or get lost, so the index stores
//! hints that expire. A chain of block hashes is stored at a few depths only,
//! which bounds the cost of a grant; a lookup is a binary search over these
//! depths.

use std::{collections::VecDeque, time::Duration};

use crate::{
    request::{BlockHash, RequestRecord},
    time::MonoTime,
};

use super::{hash::StableMap, input::CacheEvent, runner::RunnerIx};

/// Time after which a hint expires.
const HINT_LIFETIME: Duration = Duration::from_secs(120);

/// Maximum number of hints of one pool.
const MAX_HINTS: usize = 400_000;

/// Maximum number of hints for one block.
const MAX_HINTS_PER_BLOCK: usize = 6;

/// Every depth up to this one is stored; above it, depths grow by a quarter.
const DENSE_DEPTHS: usize = 8;

/// Maximum number of regular depths of one chain; its end is always stored.
const MAX_DEPTHS: usize = 40;

/// Hint that a runner probably caches a block.
#[derive(Clone, Copy, Debug)]
struct Hint {
    runner: RunnerIx,
    updated: MonoTime,
    state: BlockState,
}

/// Whether a block is already cached.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum BlockState {
    /// A prompt with the block was granted but is not prefilled yet.
    Pending,
    /// The block was prefilled or reported as stored.
    Cached,
}

/// Tokens of a prompt that a runner probably caches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct PrefixHit {
    pub(super) runner: RunnerIx,
    /// Tokens that are already cached.
    pub(super) cached_tokens: u32,
    /// Tokens that are cached once the pending prompts are prefilled.
    pub(super) expected_tokens: u32,
}

/// Hints by block and in order of expiry.
#[derive(Debug, Default)]
pub(super) struct PrefixIndex {
    hints: StableMap<BlockHash, Vec<Hint>>,
    expiry_order: VecDeque<(MonoTime, BlockHash, RunnerIx)>,
}

impl PrefixIndex {
    /// Records that a prompt was granted to a runner, or prefilled by it.
    pub(super) fn record_prompt(
        &mut self,
        now: MonoTime,
        record: &RequestRecord,
        runner: RunnerIx,
        state: BlockState,
    ) {
        for depth in depths(record.prefix.len()) {
            self.insert(now, record.prefix[depth - 1], runner, state);
        }
        self.expire(now);
    }

    /// Removes the hints of a prompt that was granted to a runner but not
    /// prefilled.
    pub(super) fn remove_pending(&mut self, record: &RequestRecord, runner: RunnerIx) {
        for depth in depths(record.prefix.len()) {
            self.remove(record.prefix[depth - 1], runner, |h| h.state == BlockState::Pending);
        }
    }

    /// Applies a cache event of a runner.
    pub(super) fn apply_event(&mut self, now: MonoTime, runner: RunnerIx, event: &CacheEvent) {
        match event {
            CacheEvent::Stored(blocks) => {
                for &block in blocks {
                    self.insert(now, block, runner, BlockState::Cached);
                }
            }
            CacheEvent::Evicted(blocks) => {
                blocks.iter().for_each(|&block| self.remove(block, runner, |_| true));
            }
            CacheEvent::Reset => self.remove_runner(runner),
        }
        self.expire(now);
    }

    /// Removes every hint on a runner. Iterates over all hints.
    pub(super) fn remove_runner(&mut self, runner: RunnerIx) {
        let order = std::mem::take(&mut self.expiry_order);
        let (removed, kept): (VecDeque<_>, _) = order.into_iter().partition(|&(.., r)| r == runner);
        self.expiry_order = kept;
        removed.into_iter().for_each(|(_, block, _)| self.remove(block, runner, |_| true));
    }

    /// Replaces `hits` by the runners that probably cache a prefix of the
    /// prompt.
    pub(super) fn look_up(&self, record: &RequestRecord, hits: &mut Vec<PrefixHit>) {
        hits.clear();
        let len = record.prefix.len();
        let depths: Vec<usize> = depths(len).collect();
        let (mut low, mut high) = (0, depths.len());
        while low < high {
            let middle = low + (high - low) / 2;
            let depth = depths[middle];
            let Some(hints) = self.hints.get(&record.prefix[depth - 1]) else {
                high = middle;
                continue;
            };
            low = middle + 1;
            let tokens = u64::from(record.prefill_tokens) * depth as u64 / len as u64;
            for hint in hints {
                add_hit(hits, hint, tokens as u32);
            }
        }
    }

    pub(super) fn len(&self) -> usize {
        self.expiry_order.len()
    }

    fn insert(&mut self, now: MonoTime, block: BlockHash, runner: RunnerIx, state: BlockState) {
        let hints = self.hints.entry(block).or_default();
        if let Some(hint) = hints.iter_mut().find(|h| h.runner == runner) {
            hint.state = hint.state.max(state);
            if now.since(hint.updated) < HINT_LIFETIME / 4 {
                return;
            }
            hint.updated = now;
        } else {
            if hints.len() == MAX_HINTS_PER_BLOCK {
                hints.remove(0);
            }
            hints.push(Hint { runner, updated: now, state });
        }
        self.expiry_order.push_back((now, block, runner));
    }

    fn remove<F>(&mut self, block: BlockHash, runner: RunnerIx, outdated: F)
    where
        F: Fn(&Hint) -> bool,
    {
        let Some(hints) = self.hints.get_mut(&block) else { return };
        hints.retain(|h| h.runner != runner || !outdated(h));
        if hints.is_empty() {
            self.hints.remove(&block);
        }
    }

    fn expire(&mut self, now: MonoTime) {
        while let Some(&(updated, block, runner)) = self.expiry_order.front() {
            let expired = now.since(updated) > HINT_LIFETIME;
            if !expired && self.expiry_order.len() <= MAX_HINTS {
                return;
            }
            self.expiry_order.pop_front();
            self.remove(block, runner, |h| h.updated <= updated);
        }
    }
}

fn add_hit(hits: &mut Vec<PrefixHit>, hint: &Hint, tokens: u32) {
    let cached = if hint.state == BlockState::Cached { tokens } else { 0 };
    match hits.iter_mut().find(|hit| hit.runner == hint.runner) {
        Some(hit) => {
            hit.cached_tokens = hit.cached_tokens.max(cached);
            hit.expected_tokens = hit.expected_tokens.max(tokens);
        }
        None => hits.push(PrefixHit {
            runner: hint.runner,
            cached_tokens: cached,
            expected_tokens: tokens,
        }),
    }
}

/// Returns the depths at which a chain of `len` blocks is stored, in ascending
/// order.
fn depths(len: usize) -> impl Iterator<Item = usize> {
    let next = |&depth: &usize| Some(if depth < DENSE_DEPTHS { depth + 1 } else { depth * 5 / 4 });
    let regular = std::iter::successors(Some(1), next).take(MAX_DEPTHS);
    regular.take_while(move |&depth| depth < len).chain((len > 0).then_some(len))
}

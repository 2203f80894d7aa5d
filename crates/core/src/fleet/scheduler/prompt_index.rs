//! Which runners still hold the beginning of a prompt.
//!
//! Built for prompts that share long beginnings: a runner that holds one answers sooner,
//! but only while it has memory and a free slot. What was sent where is known here; what a
//! runner has dropped since follows from the tokens that it has processed, as it drops the
//! least recently used ones. Its own events on that come late and cost calls.

use std::collections::BTreeMap;

use crate::{ids::RunnerName, request::BlockHash};

/// Fraction of a runner's memory in which beginnings are expected to stay: the rest is for
/// requests in progress.
const KEPT_FRACTION: f64 = 0.8;

/// Maximum number of beginnings at runners that are remembered, at some 100 bytes each.
const MAX_ENTRIES: usize = 16_384;

/// A beginning at a runner.
#[derive(Clone, Copy, Debug)]
struct Held {
    /// Tokens that the runner had processed at the last use.
    processed: u64,
    /// Number of the last use.
    used: u64,
}

/// Beginnings of prompts, by runner.
#[derive(Clone, Debug, Default)]
pub(super) struct PromptIndex {
    /// Tokens that a runner holds in memory; none if it keeps no beginnings.
    capacity: Option<u32>,
    holders: BTreeMap<BlockHash, BTreeMap<RunnerName, Held>>,
    by_use: BTreeMap<u64, (BlockHash, RunnerName)>,
    /// Tokens that each runner has processed.
    processed: BTreeMap<RunnerName, u64>,
    uses: u64,
}

impl PromptIndex {
    /// Sets the tokens that a runner holds in memory.
    pub(super) fn set_capacity(&mut self, capacity: Option<u32>) {
        self.capacity = capacity;
    }

    /// Records that a runner has read a prompt with these beginnings, `tokens` in all.
    pub(super) fn read(&mut self, runner: &RunnerName, prefix: &[BlockHash], tokens: u64) {
        if self.capacity.is_none() || (prefix.is_empty() && self.holders.is_empty()) {
            return;
        }
        let processed = self.processed.entry(runner.clone()).or_default();
        *processed += tokens;
        let processed = *processed;
        for hash in prefix {
            self.uses += 1;
            let held = Held { processed, used: self.uses };
            let former = self.holders.entry(*hash).or_default().insert(runner.clone(), held);
            if let Some(former) = former {
                self.by_use.remove(&former.used);
            }
            self.by_use.insert(self.uses, (*hash, runner.clone()));
        }
        while self.by_use.len() > MAX_ENTRIES
            && let Some((_, (hash, runner))) = self.by_use.pop_first()
        {
            self.remove(hash, &runner);
        }
    }

    /// Forgets a runner: its run has ended, or has another version.
    pub(super) fn forget(&mut self, runner: &RunnerName) {
        if self.processed.remove(runner).is_none() {
            return;
        }
        let held = self.by_use.extract_if(.., |_, (_, of)| of == runner);
        for (_, (hash, runner)) in held.collect::<Vec<_>>() {
            self.remove(hash, &runner);
        }
    }

    fn remove(&mut self, hash: BlockHash, runner: &RunnerName) {
        if let Some(holders) = self.holders.get_mut(&hash) {
            holders.remove(runner);
            if holders.is_empty() {
                self.holders.remove(&hash);
            }
        }
    }

    /// Returns the runners that hold a beginning of a prompt, with its tokens. `prefix`
    /// holds the beginnings and their tokens, the shortest first.
    pub(super) fn holders(
        &self,
        prefix: &[BlockHash],
        tokens: &[u32],
    ) -> BTreeMap<&RunnerName, u32> {
        let Some(capacity) = self.capacity else { return BTreeMap::new() };
        let kept = (f64::from(capacity) * KEPT_FRACTION) as u64;
        let mut longest = BTreeMap::new();
        for (hash, tokens) in prefix.iter().zip(tokens) {
            for (runner, held) in self.holders.get(hash).into_iter().flatten() {
                let processed = self.processed.get(runner).copied().unwrap_or_default();
                let since = processed.saturating_sub(held.processed);
                if since + u64::from(*tokens) <= kept {
                    longest.insert(runner, *tokens);
                }
            }
        }
        longest
    }

    /// Returns the tokens of the longest beginning that a runner holds.
    pub(super) fn tokens_at(
        &self,
        runner: &RunnerName,
        prefix: &[BlockHash],
        tokens: &[u32],
    ) -> u32 {
        if prefix.is_empty() {
            return 0;
        }
        self.holders(prefix, tokens).get(runner).copied().unwrap_or_default()
    }
}

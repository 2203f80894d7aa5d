//! The prefix cache and its events.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use comfreyway_core::prompt::TOKENS_PER_BLOCK;
use serde::{Deserialize, Serialize};

/// Number of events that stay readable.
const MAX_EVENTS: usize = 10_000;

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The blocks were stored.
    Stored,
    /// The blocks were evicted.
    Evicted,
}

/// One change of a prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Number of the event, from 1. A jump is a loss.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Hashes of the blocks, as 16 hexadecimal digits.
    pub blocks: Vec<String>,
}

/// Body of `GET /v1/cache-events`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Start of the engine in microseconds since the Unix epoch.
    pub instance: u64,
    /// Number of the last event that is reported.
    pub last: u64,
    /// The events, in order.
    pub events: Vec<CacheEvent>,
}

/// Blocks in order of their last use, and the events of their changes.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    gap: Option<u64>,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    pub(super) fn new(tokens: usize, gap: Option<u64>) -> Self {
        Self {
            capacity: tokens / TOKENS_PER_BLOCK,
            gap,
            used: HashMap::new(),
            order: BTreeMap::new(),
            clock: 0,
            seq: 0,
            events: VecDeque::new(),
        }
    }

    /// Tokens of the longest cached prefix of this chain of blocks.
    pub(super) fn lookup(&mut self, blocks: &[u64]) -> usize {
        let hits = blocks.iter().take_while(|block| self.used.contains_key(block)).count();
        blocks[..hits].iter().for_each(|&block| self.touch(block));
        hits * TOKENS_PER_BLOCK
    }

    /// Stores a chain of blocks, and evicts those unused for longest.
    pub(super) fn store(&mut self, blocks: &[u64]) {
        let new: Vec<_> = blocks.iter().copied().filter(|b| !self.used.contains_key(b)).collect();
        blocks.iter().for_each(|&block| self.touch(block));
        self.publish(CacheEventKind::Stored, &new);
        let mut evicted = Vec::new();
        while self.used.len() > self.capacity {
            let Some((_, block)) = self.order.pop_first() else { break };
            self.used.remove(&block);
            evicted.push(block);
        }
        self.publish(CacheEventKind::Evicted, &evicted);
    }

    /// The events after `after` that are at least `lag` old.
    pub(super) fn events(&self, after: u64, lag: Duration) -> (u64, Vec<CacheEvent>) {
        let now = Instant::now();
        let old = self.events.iter().take_while(|(at, _)| *at + lag <= now).map(|(_, e)| e);
        let events: Vec<_> = old.filter(|event| event.seq > after).cloned().collect();
        (events.last().map_or(after, |event| event.seq), events)
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(before) = self.used.insert(block, self.clock) {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, block);
    }

    fn publish(&mut self, kind: CacheEventKind, blocks: &[u64]) {
        if blocks.is_empty() {
            return;
        }
        self.seq += 1;
        if self.gap.is_some_and(|gap| self.seq.is_multiple_of(gap)) {
            return;
        }
        let blocks = blocks.iter().map(|block| format!("{block:016x}")).collect();
        self.events.push_back((Instant::now(), CacheEvent { seq: self.seq, kind, blocks }));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

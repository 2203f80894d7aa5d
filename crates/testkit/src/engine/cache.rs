//! The prefix cache and its events.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use comfreyway_core::prompt::TOKENS_PER_BLOCK;
use serde::{Deserialize, Serialize};

/// Largest number of events that are kept.
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
    /// Sequence number of the event, from 1. A gap means that events were lost.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Hashes of the blocks, as 16 hexadecimal digits.
    pub blocks: Vec<String>,
}

/// Body of `GET /v1/cache-events`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Start time of the engine in microseconds since the Unix epoch.
    pub instance: u64,
    /// Sequence number of the last reported event, or the one that the caller gave.
    pub last: u64,
    /// The events, in order.
    pub events: Vec<CacheEvent>,
}

/// An LRU cache of blocks, and the events of its changes.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    /// Every event whose number is a multiple of this is lost.
    gap: Option<u64>,
    /// Time of the last use by block, in `clock` ticks.
    last_use: HashMap<u64, u64>,
    /// Blocks by time of their last use.
    by_last_use: BTreeMap<u64, u64>,
    /// Number of uses of blocks so far.
    clock: u64,
    seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    pub(super) fn new(tokens: usize, gap: Option<u64>) -> Self {
        Self {
            capacity: tokens / TOKENS_PER_BLOCK,
            gap,
            last_use: HashMap::new(),
            by_last_use: BTreeMap::new(),
            clock: 0,
            seq: 0,
            events: VecDeque::new(),
        }
    }

    /// Number of tokens in the longest cached prefix of this chain of blocks.
    pub(super) fn lookup(&mut self, blocks: &[u64]) -> usize {
        let hits = blocks.iter().take_while(|block| self.last_use.contains_key(block)).count();
        blocks[..hits].iter().for_each(|&block| self.touch(block));
        hits * TOKENS_PER_BLOCK
    }

    /// Stores a chain of blocks and evicts the least recently used ones.
    pub(super) fn store(&mut self, blocks: &[u64]) {
        let new: Vec<_> =
            blocks.iter().copied().filter(|b| !self.last_use.contains_key(b)).collect();
        blocks.iter().for_each(|&block| self.touch(block));
        self.publish(CacheEventKind::Stored, &new);
        let mut evicted = Vec::new();
        while self.last_use.len() > self.capacity {
            let Some((_, block)) = self.by_last_use.pop_first() else { break };
            self.last_use.remove(&block);
            evicted.push(block);
        }
        self.publish(CacheEventKind::Evicted, &evicted);
    }

    /// The events after number `after` that are at least `lag` old, and the number
    /// of the last of them.
    pub(super) fn events(&self, after: u64, lag: Duration) -> (u64, Vec<CacheEvent>) {
        let now = Instant::now();
        let old = self.events.iter().take_while(|(at, _)| *at + lag <= now).map(|(_, e)| e);
        let events: Vec<_> = old.filter(|event| event.seq > after).cloned().collect();
        (events.last().map_or(after, |event| event.seq), events)
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(before) = self.last_use.insert(block, self.clock) {
            self.by_last_use.remove(&before);
        }
        self.by_last_use.insert(self.clock, block);
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

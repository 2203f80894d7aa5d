//! Prefix cache of an engine, with least-recently-used eviction.

use std::collections::{BTreeMap, HashMap};

use comfreyway_core::{pool::CacheEvent, request::BlockHash};

/// Cached blocks, ordered by last use.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    blocks: HashMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
    clock: u64,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity in blocks.
    #[must_use]
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: HashMap::new(),
            by_use: BTreeMap::new(),
            clock: 0,
            events: Vec::new(),
        }
    }

    /// Returns the length of the longest cached prefix, in blocks.
    #[must_use]
    pub(crate) fn cached_blocks(&self, prefix: &[BlockHash]) -> usize {
        prefix.iter().take_while(|block| self.blocks.contains_key(block)).count()
    }

    /// Marks the cached blocks of a prefix as used, the first block last, so it
    /// is evicted last.
    pub(crate) fn touch(&mut self, prefix: &[BlockHash]) {
        let cached = self.cached_blocks(prefix);
        for block in prefix[..cached].iter().rev() {
            self.record_use(*block);
        }
    }

    /// Stores a prefix and evicts the least recently used blocks over capacity.
    pub(crate) fn insert(&mut self, prefix: &[BlockHash]) {
        let new: Vec<_> =
            prefix.iter().filter(|block| !self.blocks.contains_key(block)).copied().collect();
        for block in prefix.iter().rev() {
            self.record_use(*block);
        }
        let mut evicted = Vec::new();
        while self.blocks.len() > self.capacity {
            let Some((_, block)) = self.by_use.pop_first() else { break };
            self.blocks.remove(&block);
            evicted.push(block);
        }
        if !new.is_empty() {
            self.events.push(CacheEvent::Stored(new));
        }
        if !evicted.is_empty() {
            self.events.push(CacheEvent::Evicted(evicted));
        }
    }

    /// Returns the changes since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn record_use(&mut self, block: BlockHash) {
        self.clock += 1;
        if let Some(old) = self.blocks.insert(block, self.clock) {
            self.by_use.remove(&old);
        }
        self.by_use.insert(self.clock, block);
    }
}

//! Bodies of a runner's responses to polls.

use std::time::Duration;

use comfreyway_core::{
    pool::{CacheEvent, LoadReport},
    request::BlockHash,
};
use serde::Deserialize;

/// Body of `GET /v1/load`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub(super) struct LoadResponse {
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    waiting_prefill_tokens: u64,
    #[serde(default)]
    age_ms: u64,
}

impl From<LoadResponse> for LoadReport {
    fn from(response: LoadResponse) -> Self {
        Self {
            running: response.running,
            queued: response.waiting,
            tokens: response.waiting_prefill_tokens,
            age: Duration::from_millis(response.age_ms),
        }
    }
}

/// Body of `GET /v1/cache-events`.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct CacheEventsResponse {
    instance: u64,
    last: u64,
    #[serde(default)]
    events: Vec<CacheEventItem>,
}

#[derive(Clone, Debug, Deserialize)]
struct CacheEventItem {
    seq: u64,
    kind: String,
    #[serde(default)]
    blocks: Vec<String>,
}

/// Position in the cache events of one instance of an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct CacheCursor {
    instance: u64,
    /// Sequence number of the last event that was read.
    pub(super) last: u64,
}

impl CacheCursor {
    /// Returns the new events of a response in order, with a reset at each gap and
    /// at a restart of the engine, and advances the cursor.
    pub(super) fn advance(&mut self, response: CacheEventsResponse) -> Vec<CacheEvent> {
        let mut events = Vec::new();
        if self.instance != response.instance {
            *self = Self { instance: response.instance, last: 0 };
            events.push(CacheEvent::Reset);
        }
        for event in response.events {
            if event.seq <= self.last {
                continue;
            }
            if event.seq > self.last + 1 && self.last > 0 {
                events.push(CacheEvent::Reset);
            }
            self.last = event.seq;
            events.extend(cache_event(&event));
        }
        self.last = self.last.max(response.last);
        events
    }
}

fn cache_event(event: &CacheEventItem) -> Option<CacheEvent> {
    let hash = |text: &String| u64::from_str_radix(text, 16).ok().map(BlockHash);
    let blocks: Vec<_> = event.blocks.iter().filter_map(hash).collect();
    match event.kind.as_str() {
        "stored" => Some(CacheEvent::Stored(blocks)),
        "evicted" => Some(CacheEvent::Evicted(blocks)),
        _ => None,
    }
}

//! Continuous batching.
//!
//! Requests join the batch in order of arrival as soon as it has capacity. Each
//! step prefills a chunk of prompt tokens and decodes one token of every sequence
//! whose prefill is complete.

use std::{
    collections::VecDeque,
    sync::{Arc, Weak},
    time::Duration,
};

use actix_rt::{
    task::yield_now,
    time::{Instant, sleep_until},
};

use super::{
    Shared,
    cache::PrefixCache,
    job::Job,
    load::{LoadHistory, LoadReport},
    settings::{EngineSettings, Rates},
};

/// Largest number of prompt tokens that one step prefills.
const PREFILL_CHUNK_TOKENS: u32 = 512;

/// A request in the batch.
#[derive(Debug)]
struct Sequence {
    job: Arc<Job>,
    prefill_left: u32,
}

/// The batch with its queue, cache and load history.
#[derive(Debug)]
pub(super) struct Batch {
    queue: VecDeque<Arc<Job>>,
    running: Vec<Sequence>,
    pub(super) cache: PrefixCache,
    pub(super) load: LoadHistory,
    pub(super) rates: Rates,
    max_batch: usize,
    load_lag: Duration,
}

impl Batch {
    pub(super) fn new(settings: &EngineSettings) -> Self {
        Self {
            queue: VecDeque::new(),
            running: Vec::new(),
            cache: PrefixCache::new(settings.cache_tokens, settings.cache_gap),
            load: LoadHistory::default(),
            rates: settings.rates,
            max_batch: settings.max_batch,
            load_lag: settings.load_lag,
        }
    }

    pub(super) fn push(&mut self, job: Arc<Job>) {
        self.queue.push_back(job);
        self.sample();
    }

    pub(super) fn sample(&mut self) {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let report = LoadReport {
            running: count(self.running.len()),
            waiting: count(self.queue.len()),
            waiting_prefill_tokens: self.queue.iter().map(|job| job.prompt.tokens).sum(),
            max_batch: count(self.max_batch),
            age_ms: 0,
        };
        self.load.sample(report, self.load_lag);
    }

    fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    fn admit(&mut self) {
        self.running.retain(|sequence| !sequence.job.ended());
        while self.running.len() < self.max_batch {
            let Some(job) = self.queue.pop_front() else { break };
            if job.ended() {
                continue;
            }
            let cached = u32::try_from(self.cache.lookup(&job.prompt.blocks)).unwrap_or(u32::MAX);
            let cached = cached.min(job.prompt.tokens.saturating_sub(1));
            job.start(cached);
            let prefill_left = job.prompt.tokens - cached;
            self.running.push(Sequence { job, prefill_left });
        }
    }

    /// Runs one step and returns its duration.
    fn step(&mut self) -> Duration {
        let mut budget = PREFILL_CHUNK_TOKENS;
        let mut decoded = false;
        for sequence in &mut self.running {
            if sequence.prefill_left == 0 {
                sequence.job.decode();
                decoded = true;
                continue;
            }
            let chunk = sequence.prefill_left.min(budget);
            budget -= chunk;
            sequence.prefill_left -= chunk;
            if sequence.prefill_left == 0 {
                self.cache.store(&sequence.job.prompt.blocks);
            }
        }
        let prefilled = f64::from(PREFILL_CHUNK_TOKENS - budget) / self.rates.prefill;
        let decode = if decoded { 1.0 / self.rates.decode } else { 0.0 };
        Duration::try_from_secs_f64(prefilled + decode).unwrap_or(Duration::MAX)
    }
}

/// Runs steps until the engine is dropped.
pub(super) async fn run(engine: Weak<Shared>) {
    let mut next = Instant::now();
    while let Some(shared) = engine.upgrade() {
        shared.gate.wait_until_open().await;
        let (empty, step) = {
            let mut batch = shared.batch();
            batch.admit();
            let step = batch.step();
            batch.sample();
            (batch.is_empty(), step)
        };
        if empty {
            shared.arrived.notified().await;
            next = Instant::now();
            continue;
        }
        // Steps that ran late are caught up, so that the rate holds on average.
        next += step;
        if next > Instant::now() {
            sleep_until(next).await;
        } else {
            yield_now().await;
        }
    }
}

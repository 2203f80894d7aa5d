//! Cost model of a model engine.
//!
//! The engine uses continuous batching: each step decodes one token of every
//! running sequence and prefills one chunk of prompts, in order of arrival,
//! without priorities. A sequence is admitted if there is a free slot and
//! cache memory for its prompt and response.

use std::{collections::VecDeque, time::Duration};

use comfreyway_core::{
    ids::RequestId,
    pool::{CacheEvent, LoadReport},
    request::BlockHash,
};

use super::cache::PrefixCache;

/// Tokens in one cache block of the cost model.
pub(crate) const CACHE_BLOCK_TOKENS: u32 = 256;

/// Speed and limits of an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineSpec {
    /// Name of the runner.
    pub(crate) name: String,
    /// Data centre of the runner.
    pub(crate) data_centre: String,
    /// Prompt tokens that are prefilled per second.
    pub(crate) prefill_rate: f64,
    /// Fixed time per step.
    pub(crate) step_base: Duration,
    /// Time per step and decoding sequence.
    pub(crate) step_per_sequence: Duration,
    /// Largest number of prompt tokens that one step prefills.
    pub(crate) chunk_tokens: u32,
    /// Largest number of running sequences.
    pub(crate) max_sequences: usize,
    /// Cache memory for running sequences, in tokens.
    pub(crate) sequence_tokens: u64,
    /// Cache memory for prefixes, in tokens.
    pub(crate) prefix_tokens: u64,
}

impl EngineSpec {
    /// Returns the least seconds for this many prompt and response tokens in
    /// all, with as few steps as full chunks and full batches allow.
    #[must_use]
    pub(crate) fn min_seconds(&self, prefill: f64, decode: f64) -> f64 {
        let chunks = prefill / f64::from(self.chunk_tokens);
        let batches = decode / self.max_sequences as f64;
        let base = self.step_base.as_secs_f64() * chunks.max(batches);
        base + prefill / self.prefill_rate + decode * self.step_per_sequence.as_secs_f64()
    }

    /// Returns the least seconds that one more request adds: its decode steps
    /// are full batches and its chunks share steps with other sequences.
    #[must_use]
    pub(crate) fn min_added_seconds(&self, prefill: f64, decode: f64) -> f64 {
        let base = self.step_base.as_secs_f64() / self.max_sequences as f64;
        let per_token = base + self.step_per_sequence.as_secs_f64();
        prefill / self.prefill_rate + decode * per_token
    }
}

/// Request to an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: RequestId,
    /// Length of the prompt, in tokens.
    pub(crate) prefill_tokens: u32,
    /// Chained hashes of the prompt's blocks.
    pub(crate) prefix: Vec<BlockHash>,
    /// Length of the response, in tokens.
    pub(crate) decode_tokens: u32,
}

/// Running sequence.
#[derive(Clone, Debug)]
struct Sequence {
    job: Job,
    prefill_left: u32,
    decoded: u32,
}

/// Event at the start or end of a step.
#[derive(Clone, Debug)]
pub(crate) enum EngineEvent {
    /// A sequence was admitted.
    Admitted {
        id: RequestId,
        /// Prompt tokens found in the prefix cache.
        cached: u32,
    },
    /// A token was generated.
    Token {
        id: RequestId,
        /// True for the first token of the response.
        first: bool,
        /// True for the last token of the response.
        last: bool,
    },
}

/// State of a simulated engine.
#[derive(Debug)]
pub(crate) struct Engine {
    /// Speed and limits.
    pub(crate) spec: EngineSpec,
    /// Factor on the duration of each step.
    pub(crate) slowdown: f64,
    /// False once the engine has crashed.
    pub(crate) alive: bool,
    /// Prefix cache.
    pub(crate) cache: PrefixCache,
    /// Number of prompt tokens prefilled so far.
    pub(crate) prefilled: u64,
    /// Number of tokens generated so far.
    pub(crate) decoded: u64,
    queue: VecDeque<Job>,
    running: Vec<Sequence>,
    chunks: Vec<u32>,
    stepping: bool,
}

impl Engine {
    /// Creates an idle engine.
    #[must_use]
    pub(crate) fn new(spec: EngineSpec) -> Self {
        let cache = PrefixCache::new((spec.prefix_tokens / u64::from(CACHE_BLOCK_TOKENS)) as usize);
        Self {
            spec,
            slowdown: 1.0,
            alive: true,
            cache,
            prefilled: 0,
            decoded: 0,
            queue: VecDeque::new(),
            running: Vec::new(),
            chunks: Vec::new(),
            stepping: false,
        }
    }

    /// Appends a request to the engine's queue.
    pub(crate) fn push(&mut self, job: Job) {
        self.queue.push_back(job);
    }

    /// Starts a step if the engine is idle and has work. Returns its duration.
    pub(crate) fn start_step(&mut self, events: &mut Vec<EngineEvent>) -> Option<Duration> {
        if self.stepping || !self.alive {
            return None;
        }
        self.admit(events);
        if self.running.is_empty() {
            return None;
        }
        self.stepping = true;
        let mut budget = self.spec.chunk_tokens;
        let mut decoding = 0_u32;
        self.chunks.clear();
        for sequence in &self.running {
            let chunk = sequence.prefill_left.min(budget);
            budget -= chunk;
            decoding += u32::from(sequence.prefill_left == 0);
            self.chunks.push(chunk);
        }
        let prefilled = self.spec.chunk_tokens - budget;
        let prefill = f64::from(prefilled) / self.spec.prefill_rate;
        let decode = self.spec.step_per_sequence.as_secs_f64() * f64::from(decoding);
        let base = self.spec.step_base.as_secs_f64();
        Some(Duration::from_secs_f64((base + prefill + decode) * self.slowdown))
    }

    /// Ends the current step.
    pub(crate) fn end_step(&mut self, events: &mut Vec<EngineEvent>) {
        self.stepping = false;
        for (sequence, chunk) in self.running.iter_mut().zip(&self.chunks) {
            let decoding = sequence.prefill_left == 0;
            sequence.prefill_left -= chunk;
            self.prefilled += u64::from(*chunk);
            let finished_prefill = !decoding && sequence.prefill_left == 0 && *chunk > 0;
            if finished_prefill {
                self.cache.insert(&sequence.job.prefix);
            }
            if decoding || finished_prefill {
                sequence.decoded += 1;
                self.decoded += 1;
                let first = sequence.decoded == 1;
                let last = sequence.decoded >= sequence.job.decode_tokens;
                events.push(EngineEvent::Token { id: sequence.job.id, first, last });
            }
        }
        self.running.retain(|s| s.decoded < s.job.decode_tokens);
    }

    /// Crashes the engine and returns the requests that were in it.
    pub(crate) fn crash(&mut self) -> Vec<RequestId> {
        self.alive = false;
        let queued = self.queue.drain(..).map(|job| job.id);
        let running = self.running.drain(..).map(|sequence| sequence.job.id);
        queued.chain(running).collect()
    }

    /// Returns the current load.
    #[must_use]
    pub(crate) fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            tokens: self.reserved_tokens(),
            age: Duration::ZERO,
        }
    }

    /// Returns the changes of the prefix cache since the last call.
    pub(crate) fn take_cache_events(&mut self) -> Vec<CacheEvent> {
        self.cache.take_events()
    }

    fn reserved_tokens(&self) -> u64 {
        self.running.iter().map(|s| memory_tokens(&s.job)).sum()
    }

    fn admit(&mut self, events: &mut Vec<EngineEvent>) {
        while let Some(job) = self.queue.front() {
            let reserved = self.reserved_tokens();
            let fits = reserved == 0 || reserved + memory_tokens(job) <= self.spec.sequence_tokens;
            if self.running.len() >= self.spec.max_sequences || !fits {
                return;
            }
            let Some(job) = self.queue.pop_front() else { return };
            let cached = self.cache.cached_blocks(&job.prefix) as u32 * CACHE_BLOCK_TOKENS;
            let cached = cached.min(job.prefill_tokens - 1);
            self.cache.touch(&job.prefix);
            events.push(EngineEvent::Admitted { id: job.id, cached });
            let prefill_left = job.prefill_tokens - cached;
            self.running.push(Sequence { job, prefill_left, decoded: 0 });
        }
    }
}

fn memory_tokens(job: &Job) -> u64 {
    u64::from(job.prefill_tokens) + u64::from(job.decode_tokens)
}

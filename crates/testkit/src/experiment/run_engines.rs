//! The engines' half of a run: steps, tokens, reports and losses.

use std::time::Duration;

use comfreyway_core::{
    pool::PoolInput,
    request::{DispatchEnd, Usage},
    time::MonoTime,
};
use rand::RngExt;

use super::{
    engine::{BLOCK_TOKENS, EngineEvent, Job},
    run::{DISTURBED_ENGINE, ENGINE_HOP, Event, REPORT_INTERVAL, Run},
    scenario::WARM_UP,
    track::Track,
    workload::Arrival,
};

/// Time until the host list shows that a runner is gone.
const HOST_LIST_LAG: Duration = Duration::from_secs(2);

/// Share of cache events that are lost.
const LOST_CACHE_EVENTS: f64 = 0.05;

impl Run<'_> {
    pub(super) fn reach(&mut self, engine: usize, request: usize) {
        if !self.engines[engine].alive {
            self.at(self.now + ENGINE_HOP, Event::Lost(request));
            return;
        }
        let arrival = &self.trace[request];
        self.engines[engine].push(Job {
            id: arrival.record.id,
            prefill_tokens: arrival.record.prefill_tokens,
            prefix: arrival.record.prefix.clone(),
            decode_tokens: arrival.decode_tokens,
        });
        self.start_step(engine);
    }

    fn start_step(&mut self, engine: usize) {
        let mut events = std::mem::take(&mut self.engine_events);
        if let Some(duration) = self.engines[engine].start_step(&mut events) {
            self.at(self.now + duration, Event::StepEnd(engine));
        }
        self.engine_events = events;
        self.observe();
    }

    pub(super) fn step_end(&mut self, engine: usize) {
        if !self.engines[engine].alive {
            return;
        }
        let mut events = std::mem::take(&mut self.engine_events);
        self.engines[engine].end_step(&mut events);
        self.engine_events = events;
        self.observe();
        self.start_step(engine);
    }

    fn observe(&mut self) {
        let events = std::mem::take(&mut self.engine_events);
        for event in events {
            match event {
                EngineEvent::Admitted { id, cached } => self.admitted(self.by_id[&id], cached),
                EngineEvent::Token { id, first, last } => {
                    let request = self.by_id[&id];
                    let event = Event::Token { request, first, last };
                    self.at(self.now + ENGINE_HOP, event);
                }
            }
        }
    }

    fn admitted(&mut self, request: usize, cached: u32) {
        let prefix = &self.trace[request].record.prefix;
        let alive = self.engines.iter().filter(|engine| engine.alive);
        let best = alive.map(|engine| engine.cache.cached_blocks(prefix)).max().unwrap_or(0);
        let track = &mut self.tracks[request];
        track.admitted = true;
        track.cached = cached;
        let tokens = best as u32 * BLOCK_TOKENS;
        track.cached_anywhere = tokens.min(self.trace[request].record.prefill_tokens - 1);
    }

    pub(super) fn token(&mut self, request: usize, first: bool, last: bool) {
        let arrival = &self.trace[request];
        let id = arrival.record.id;
        let track = &mut self.tracks[request];
        if first {
            track.first = Some(self.now);
        } else if arrival.at >= MonoTime::ZERO + WARM_UP {
            self.gaps.push(self.now.since(track.latest).as_micros() as u32);
        }
        track.latest = self.now;
        if last {
            track.ended = Some(self.now);
        }
        let usage = usage(track, arrival, self.now);
        if first {
            self.tell(PoolInput::FirstToken(id));
        }
        if last {
            self.tell(PoolInput::Ended { id, end: DispatchEnd::Complete(usage) });
        }
    }

    pub(super) fn report(&mut self, engine: usize) {
        if !self.engines[engine].alive {
            return;
        }
        self.at(self.now + REPORT_INTERVAL, Event::Report(engine));
        let mut report = self.engines[engine].load();
        report.age = self.report_age;
        let seen = self.now + self.report_age;
        let runner = self.names[engine].clone();
        self.at(seen, Event::Scheduler(PoolInput::Load { runner, report }));
        for event in self.engines[engine].cache_events() {
            if self.rng.random_range(0.0..1.0) < LOST_CACHE_EVENTS {
                continue;
            }
            let runner = self.names[engine].clone();
            self.at(seen, Event::Scheduler(PoolInput::Cache { runner, event }));
        }
    }

    pub(super) fn lose(&mut self) {
        for id in self.engines[DISTURBED_ENGINE].lose() {
            self.at(self.now + ENGINE_HOP, Event::Lost(self.by_id[&id]));
        }
        let gone = PoolInput::RunnerRemoved(self.names[DISTURBED_ENGINE].clone());
        self.at(self.now + HOST_LIST_LAG, Event::Scheduler(gone));
    }
}

fn usage(track: &Track, arrival: &Arrival, now: MonoTime) -> Usage {
    let dispatched = track.dispatched.unwrap_or(now);
    Usage {
        prefill_tokens: track.prefilled(arrival),
        cached_tokens: track.cached,
        decode_tokens: arrival.decode_tokens,
        first_token: track.first.unwrap_or(now).since(dispatched),
        total: now.since(dispatched),
    }
}

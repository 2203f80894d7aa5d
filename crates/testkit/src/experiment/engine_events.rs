//! Engine events of a run: steps, tokens, reports and crashes.

use std::time::Duration;

use comfreyway_core::{
    pool::PoolInput,
    request::{DispatchEnd, Usage},
    time::MonoTime,
};
use rand::RngExt;

use super::{
    engine::{CACHE_BLOCK_TOKENS, EngineEvent, Job},
    run::{DISTURBED_ENGINE, ENGINE_DELAY, Event, REPORT_INTERVAL, Simulation},
    scenario::WARM_UP,
    timeline::RequestTimeline,
    workload::Arrival,
};

/// Time until the host list omits a crashed runner.
const HOST_LIST_LAG: Duration = Duration::from_secs(2);

/// Share of cache events that are dropped.
const DROPPED_CACHE_EVENTS: f64 = 0.05;

impl Simulation<'_> {
    pub(super) fn reach_engine(&mut self, engine: usize, request: usize) {
        if !self.engines[engine].alive {
            self.schedule(self.now + ENGINE_DELAY, Event::ConnectionLost(request));
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
            self.schedule(self.now + duration, Event::StepEnd(engine));
        }
        self.engine_events = events;
        self.handle_engine_events();
    }

    pub(super) fn step_end(&mut self, engine: usize) {
        if !self.engines[engine].alive {
            return;
        }
        let mut events = std::mem::take(&mut self.engine_events);
        self.engines[engine].end_step(&mut events);
        self.engine_events = events;
        self.handle_engine_events();
        self.start_step(engine);
    }

    fn handle_engine_events(&mut self) {
        let events = std::mem::take(&mut self.engine_events);
        for event in events {
            match event {
                EngineEvent::Admitted { id, cached } => {
                    self.record_admission(self.by_id[&id], cached)
                }
                EngineEvent::Token { id, first, last } => {
                    let request = self.by_id[&id];
                    let event = Event::Token { request, first, last };
                    self.schedule(self.now + ENGINE_DELAY, event);
                }
            }
        }
    }

    fn record_admission(&mut self, request: usize, cached: u32) {
        let prefix = &self.trace[request].record.prefix;
        let alive = self.engines.iter().filter(|engine| engine.alive);
        let best = alive.map(|engine| engine.cache.cached_blocks(prefix)).max().unwrap_or(0);
        let timeline = &mut self.timelines[request];
        timeline.admitted = true;
        timeline.cached_tokens = cached;
        let tokens = best as u32 * CACHE_BLOCK_TOKENS;
        timeline.best_cached_tokens = tokens.min(self.trace[request].record.prefill_tokens - 1);
    }

    pub(super) fn receive_token(&mut self, request: usize, first: bool, last: bool) {
        let arrival = &self.trace[request];
        let id = arrival.record.id;
        let timeline = &mut self.timelines[request];
        if first {
            timeline.first_token_at = Some(self.now);
        } else if arrival.at >= MonoTime::ZERO + WARM_UP {
            self.gaps.push(self.now.since(timeline.last_token_at).as_micros() as u32);
        }
        timeline.last_token_at = self.now;
        if last {
            timeline.completed_at = Some(self.now);
        }
        let usage = usage(timeline, arrival, self.now);
        if first {
            self.send_to_scheduler(PoolInput::FirstToken(id));
        }
        if last {
            self.send_to_scheduler(PoolInput::Ended { id, end: DispatchEnd::Complete(usage) });
        }
    }

    pub(super) fn send_report(&mut self, engine: usize) {
        if !self.engines[engine].alive {
            return;
        }
        self.schedule(self.now + REPORT_INTERVAL, Event::Report(engine));
        let mut report = self.engines[engine].load();
        report.age = self.report_age;
        let received_at = self.now + self.report_age;
        let runner = self.names[engine].clone();
        self.schedule(received_at, Event::SchedulerInput(PoolInput::Load { runner, report }));
        for event in self.engines[engine].take_cache_events() {
            if self.rng.random_range(0.0..1.0) < DROPPED_CACHE_EVENTS {
                continue;
            }
            let runner = self.names[engine].clone();
            self.schedule(received_at, Event::SchedulerInput(PoolInput::Cache { runner, event }));
        }
    }

    pub(super) fn crash_engine(&mut self) {
        for id in self.engines[DISTURBED_ENGINE].crash() {
            self.schedule(self.now + ENGINE_DELAY, Event::ConnectionLost(self.by_id[&id]));
        }
        let removed = PoolInput::RunnerRemoved(self.names[DISTURBED_ENGINE].clone());
        self.schedule(self.now + HOST_LIST_LAG, Event::SchedulerInput(removed));
    }
}

fn usage(timeline: &RequestTimeline, arrival: &Arrival, now: MonoTime) -> Usage {
    let dispatched = timeline.dispatched_at.unwrap_or(now);
    Usage {
        prefill_tokens: timeline.prefilled_tokens(arrival),
        cached_tokens: timeline.cached_tokens,
        decode_tokens: arrival.decode_tokens,
        first_token: timeline.first_token_at.unwrap_or(now).since(dispatched),
        total: now.since(dispatched),
        until_close: false,
        failed: false,
    }
}

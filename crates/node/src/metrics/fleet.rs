//! Metrics of a host that serves a fleet.
//!
//! Requests are counted by reason, class, tier and upstream, never by workspace
//! or runner: a fleet has a handful of the former and thousands of the latter.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use comfreyway_core::{
    fleet::{RolloutState, RunnerNotice, UpstreamScheduler},
    ids::{ClassName, Tier, UpstreamName},
    outcome::{NotRunReason, RetryReason, UnknownReason},
};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Meter},
};

use crate::logging::dropped_lines;

use super::TrafficMetrics;

/// Labels of a request's time metrics.
#[derive(Clone, Copy, Debug)]
pub struct RequestLabels<'a> {
    /// Class of the request.
    pub class: &'a ClassName,
    /// Tier of the request, including that of its workspace.
    pub tier: Tier,
    /// The upstream that ran the request.
    pub upstream: &'a UpstreamName,
}

/// Times of an answered request since its arrival.
#[derive(Clone, Copy, Debug)]
pub struct RequestTimes {
    /// Time to the last dispatch.
    pub waited: Duration,
    /// Time to the first byte of the response.
    pub first_byte: Duration,
    /// Time to the end of the response.
    pub total: Duration,
}

/// Metrics of a host that serves a fleet. Cheap to clone.
#[derive(Clone, Debug)]
pub struct FleetMetrics {
    traffic: TrafficMetrics,
    streams_cut: Counter<u64>,
    abandoned: Counter<u64>,
    store_calls: Counter<u64>,
    store_rollbacks: Counter<u64>,
    runner_notices: Counter<u64>,
    parts_quarantined: Counter<u64>,
    requests_quarantined: Counter<u64>,
    rollouts: Counter<u64>,
    forwarded: Counter<u64>,
    waiting: Gauge<u64>,
    at_runners: Gauge<u64>,
    slots: Gauge<u64>,
    /// Upstreams whose gauges were set before.
    upstreams: Arc<Mutex<BTreeSet<UpstreamName>>>,
}

impl FleetMetrics {
    /// Adds the metrics to a meter. `staleness` returns the time since the
    /// configuration was last verified as current.
    pub(super) fn new<F>(meter: &Meter, traffic: TrafficMetrics, staleness: F) -> Self
    where
        F: Fn() -> Duration + Send + Sync + 'static,
    {
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        let gauge = |name, text| meter.u64_gauge(name).with_description(text).build();
        // The meter retains the observable instruments.
        let _ = meter
            .f64_observable_gauge("comfreyway_configuration_proof_age")
            .with_description("Time since the configuration was last verified as current")
            .with_unit("s")
            .with_callback(move |observer| observer.observe(staleness().as_secs_f64(), &[]))
            .build();
        let _ = meter
            .u64_observable_counter("comfreyway_log_lines_dropped")
            .with_description("Log lines dropped because the queue was full")
            .with_callback(|observer| observer.observe(dropped_lines(), &[]))
            .build();
        let metrics = Self {
            traffic,
            streams_cut: counter(
                "comfreyway_streams_cut",
                "Streams that ended before their end marker, by reason",
            ),
            abandoned: counter(
                "comfreyway_abandoned",
                "Requests whose callers disconnected, by stage",
            ),
            store_calls: counter(
                "comfreyway_store_calls",
                "Calls to the platform's store, by kind and outcome",
            ),
            store_rollbacks: counter(
                "comfreyway_store_rollbacks",
                "Times that the store came back from an older copy",
            ),
            runner_notices: counter(
                "comfreyway_runner_notices",
                "Responses in which a runner says that it is leaving or asks for rest, by kind",
            ),
            parts_quarantined: counter(
                "comfreyway_prompt_parts_quarantined",
                "Prompt parts that were quarantined because they crash runners",
            ),
            requests_quarantined: counter(
                "comfreyway_requests_quarantined",
                "Requests whose repeats were quarantined because they crash runners",
            ),
            rollouts: counter(
                "comfreyway_rollouts",
                "Rollouts that ended, by their final state, as this host saw them",
            ),
            forwarded: counter(
                "comfreyway_forwarded",
                "Requests of other hosts that were sent to runners, or not, by outcome",
            ),
            waiting: gauge(
                "comfreyway_upstream_waiting",
                "Requests queued at this coordinator, by upstream",
            ),
            at_runners: gauge(
                "comfreyway_upstream_at_runners",
                "Requests that this coordinator has assigned to runners, by upstream",
            ),
            slots: gauge(
                "comfreyway_upstream_places",
                "Slots of the runners that this coordinator uses, by upstream",
            ),
            upstreams: Arc::default(),
        };
        metrics.store_rollbacks.add(0, &[]);
        metrics.parts_quarantined.add(0, &[]);
        metrics.requests_quarantined.add(0, &[]);
        for state in ["completed", "rolled-back"] {
            metrics.rollouts.add(0, &[KeyValue::new("state", state)]);
        }
        for outcome in ["response", "unreachable", "cut-off", "busy", "unknown"] {
            metrics.forwarded.add(0, &[KeyValue::new("outcome", outcome)]);
        }
        for kind in ["leaving", "ended", "rest"] {
            metrics.runner_notices.add(0, &[KeyValue::new("kind", kind)]);
        }
        for stage in ["waiting", "sent"] {
            metrics.abandoned.add(0, &[KeyValue::new("stage", stage)]);
        }
        for reason in ["time-limit", "runner-broke"] {
            metrics.streams_cut.add(0, &[KeyValue::new("reason", reason)]);
        }
        metrics
    }

    /// Counts a request with a complete response.
    pub fn answered(&self, labels: RequestLabels<'_>, times: RequestTimes) {
        let labels_of = [
            KeyValue::new("class", labels.class.as_str().to_owned()),
            KeyValue::new("tier", i64::from(labels.tier.0)),
            KeyValue::new("upstream", labels.upstream.as_str().to_owned()),
        ];
        self.traffic.answered(labels.class);
        self.traffic.record_times(times.waited, times.first_byte, times.total, &labels_of);
    }

    /// Counts a request that was not run.
    pub fn not_run(&self, reason: NotRunReason) {
        self.traffic.not_run(reason);
    }

    /// Counts a request with an unknown outcome.
    pub fn unknown(&self, reason: UnknownReason) {
        self.traffic.unknown(reason);
    }

    /// Counts a grant that was not used.
    pub fn retried(&self, reason: RetryReason) {
        self.traffic.retried(reason);
    }

    /// Counts a response in which a runner says something about itself.
    pub fn runner_notice(&self, notice: &RunnerNotice) {
        let kind = match notice {
            RunnerNotice::Leaving(_) => "leaving",
            RunnerNotice::Ended(_) => "ended",
            RunnerNotice::Rest(..) => "rest",
        };
        self.runner_notices.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a prompt part that was quarantined.
    pub fn part_quarantined(&self) {
        self.parts_quarantined.add(1, &[]);
    }

    /// Counts a request whose repeats were quarantined.
    pub fn request_quarantined(&self) {
        self.requests_quarantined.add(1, &[]);
    }

    /// Counts a store that came back from an older copy.
    pub fn store_rolled_back(&self) {
        self.store_rollbacks.add(1, &[]);
    }

    /// Counts a rollout that ended.
    pub fn rollout_ended(&self, state: RolloutState) {
        let state = match state {
            RolloutState::Active => return,
            RolloutState::Completed => "completed",
            RolloutState::RolledBack => "rolled-back",
        };
        self.rollouts.add(1, &[KeyValue::new("state", state)]);
    }

    /// Counts a request that another host sent through this one.
    pub fn forwarded(&self, outcome: &'static str) {
        self.forwarded.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a stream that ended before its end marker.
    pub fn stream_cut(&self, reason: &'static str) {
        self.streams_cut.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a request whose caller disconnected.
    pub fn abandoned(&self, stage: &'static str) {
        self.abandoned.add(1, &[KeyValue::new("stage", stage)]);
    }

    /// Counts a call to the store.
    pub fn store_call(&self, kind: &'static str, outcome: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("outcome", outcome)];
        self.store_calls.add(1, &labels);
    }

    /// Records the load of the upstreams that this host coordinates, and zero
    /// for those that it no longer coordinates.
    pub fn record_load<'a, I>(&self, schedulers: I)
    where
        I: Iterator<Item = (&'a UpstreamName, &'a UpstreamScheduler)>,
    {
        let mut known = self.upstreams.lock().unwrap_or_else(PoisonError::into_inner);
        let mut unlisted = known.clone();
        for (upstream, scheduler) in schedulers {
            unlisted.remove(upstream);
            known.insert(upstream.clone());
            let slots = scheduler.runners().map(|(_, runner)| u64::from(runner.slots)).sum();
            let at_runners =
                scheduler.runners().map(|(_, runner)| runner.in_progress() as u64).sum();
            self.set_load(upstream, scheduler.waiting() as u64, at_runners, slots);
        }
        for upstream in unlisted {
            self.set_load(&upstream, 0, 0, 0);
        }
    }

    fn set_load(&self, upstream: &UpstreamName, waiting: u64, at_runners: u64, slots: u64) {
        let labels = [KeyValue::new("upstream", upstream.as_str().to_owned())];
        self.waiting.record(waiting, &labels);
        self.at_runners.record(at_runners, &labels);
        self.slots.record(slots, &labels);
    }
}

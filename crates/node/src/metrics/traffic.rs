//! Metrics of the request path.

use std::time::Duration;

use comfreyway_core::{
    ids::ClassName,
    outcome::{NotRunReason, RetryReason, UnknownReason},
};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, UpDownCounter},
};

use crate::control::Progress;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_S: [f64; 16] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
    120.0,
];

/// Label of the message that submits a request.
const SUBMIT: &str = "submit";

/// Metrics of the request path. Cheap to clone.
#[derive(Clone, Debug)]
pub struct TrafficMetrics {
    answered: Counter<u64>,
    not_run: Counter<u64>,
    unknown: Counter<u64>,
    retries: Counter<u64>,
    repeats: Counter<u64>,
    wasted_prefill: Counter<u64>,
    in_progress: UpDownCounter<i64>,
    waiting: Histogram<f64>,
    first_byte: Histogram<f64>,
    response_time: Histogram<f64>,
    control_queue: Histogram<f64>,
    control_messages: Counter<u64>,
}

impl TrafficMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        let histogram = |name, text| {
            meter
                .f64_histogram(name)
                .with_description(text)
                .with_unit("s")
                .with_boundaries(BUCKETS_S.to_vec())
                .build()
        };
        let metrics = Self {
            answered: counter("comfreyway_answered", "Requests with a complete response, by class"),
            not_run: counter("comfreyway_not_run", "Requests not run, by reason"),
            unknown: counter("comfreyway_unknown", "Requests with an unknown outcome, by reason"),
            retries: counter("comfreyway_retries", "Grants that were not used, by reason"),
            repeats: counter("comfreyway_repeats", "Requests answered from an earlier attempt"),
            wasted_prefill: counter(
                "comfreyway_wasted_prefill_tokens",
                "Prompt tokens of requests whose response was not delivered completely",
            ),
            in_progress: meter
                .i64_up_down_counter("comfreyway_in_progress")
                .with_description("Requests that are neither answered nor refused yet")
                .build(),
            waiting: histogram("comfreyway_waiting", "Time from arrival to dispatch"),
            first_byte: histogram("comfreyway_first_byte", "Time from arrival to the first byte"),
            response_time: histogram(
                "comfreyway_whole_answer",
                "Time from arrival to the end of the response",
            ),
            control_queue: histogram(
                "comfreyway_control_queue",
                "Time that a message waits for the control thread",
            ),
            control_messages: counter(
                "comfreyway_control_messages",
                "Messages from workers to the control thread, by kind",
            ),
        };
        metrics.initialize_to_zero();
        metrics
    }

    fn initialize_to_zero(&self) {
        for reason in NotRunReason::ALL {
            self.not_run.add(0, &[reason_label(reason.as_str())]);
        }
        for reason in UnknownReason::ALL {
            self.unknown.add(0, &[reason_label(reason.as_str())]);
        }
        for reason in RetryReason::ALL {
            self.retries.add(0, &[reason_label(reason.as_str())]);
        }
        for kind in Progress::KINDS.iter().chain(&[SUBMIT]) {
            self.control_messages.add(0, &[KeyValue::new("kind", *kind)]);
        }
        self.repeats.add(0, &[]);
        self.wasted_prefill.add(0, &[]);
        self.in_progress.add(0, &[]);
    }

    /// Counts a request with a complete response.
    pub fn answered(&self, class: &ClassName) {
        self.answered.add(1, &[KeyValue::new("class", class.as_str().to_owned())]);
    }

    /// Counts a request that was not run.
    pub fn not_run(&self, reason: NotRunReason) {
        self.not_run.add(1, &[reason_label(reason.as_str())]);
    }

    /// Counts a request with an unknown outcome.
    pub fn unknown(&self, reason: UnknownReason) {
        self.unknown.add(1, &[reason_label(reason.as_str())]);
    }

    /// Counts a grant that was not used.
    pub fn retried(&self, reason: RetryReason) {
        self.retries.add(1, &[reason_label(reason.as_str())]);
    }

    /// Counts a request that is answered from an earlier attempt.
    pub fn repeated(&self) {
        self.repeats.add(1, &[]);
    }

    /// Counts prompt tokens of a request whose response was not delivered
    /// completely.
    pub fn wasted_prefill(&self, tokens: u32) {
        self.wasted_prefill.add(u64::from(tokens), &[]);
    }

    /// Adds to the number of requests in progress: 1 when a request begins, -1
    /// when it ends.
    pub fn in_progress(&self, change: i64) {
        self.in_progress.add(change, &[]);
    }

    /// Records the time from arrival to dispatch.
    pub fn waited(&self, time: Duration) {
        self.waiting.record(time.as_secs_f64(), &[]);
    }

    /// Records the time from arrival to the first byte of the response.
    pub fn first_byte(&self, time: Duration) {
        self.first_byte.record(time.as_secs_f64(), &[]);
    }

    /// Records the time from arrival to the end of the response.
    pub fn response_time(&self, time: Duration) {
        self.response_time.record(time.as_secs_f64(), &[]);
    }

    /// Records the times of an answered request since its arrival, with labels.
    pub(super) fn record_times(
        &self,
        waited: Duration,
        first_byte: Duration,
        response_time: Duration,
        labels: &[KeyValue],
    ) {
        self.waiting.record(waited.as_secs_f64(), labels);
        self.first_byte.record(first_byte.as_secs_f64(), labels);
        self.response_time.record(response_time.as_secs_f64(), labels);
    }

    /// Counts a request submitted to the control thread.
    pub fn submitted(&self) {
        self.control_messages.add(1, &[KeyValue::new("kind", SUBMIT)]);
    }

    /// Counts a progress report to the control thread.
    pub fn reported(&self, progress: &Progress) {
        self.control_messages.add(1, &[KeyValue::new("kind", progress.kind())]);
    }

    /// Records the time that a message waited for the control thread.
    pub fn control_queue(&self, time: Duration) {
        self.control_queue.record(time.as_secs_f64(), &[]);
    }
}

fn reason_label(reason: &'static str) -> KeyValue {
    KeyValue::new("reason", reason)
}

//! What a load saw.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest time that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits of a time.
const DIGITS: u8 = 3;

/// What a load saw within the counted time.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Requests answered with status 200 and whole.
    pub answered: u64,
    /// Requests with any other end.
    pub failed: u64,
    /// Events of streams.
    pub events: u64,
    /// Time from the planned start to the first byte, in microseconds.
    pub first_byte: Histogram<u64>,
    /// Time from the planned start to the end, in microseconds.
    pub whole: Histogram<u64>,
    /// Counted time.
    pub elapsed: Duration,
}

impl LoadResult {
    pub(super) fn new(elapsed: Duration) -> Self {
        let empty = Histogram::new_with_max(MAX_LATENCY_US, DIGITS);
        let empty = empty.unwrap_or_else(|e| unreachable!("constant bounds: {e}"));
        Self { answered: 0, failed: 0, events: 0, first_byte: empty.clone(), whole: empty, elapsed }
    }

    pub(super) fn record(&mut self, first_byte: Duration, whole: Duration) {
        let us = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        self.first_byte.saturating_record(us(first_byte));
        self.whole.saturating_record(us(whole));
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.events += other.events;
        // Both histograms have the same bounds.
        let _ = self.first_byte.add(&other.first_byte);
        let _ = self.whole.add(&other.whole);
    }

    /// Answered requests per second.
    #[must_use]
    pub fn requests_per_second(&self) -> f64 {
        self.answered as f64 / self.elapsed.as_secs_f64()
    }

    /// Events per second.
    #[must_use]
    pub fn events_per_second(&self) -> f64 {
        self.events as f64 / self.elapsed.as_secs_f64()
    }
}

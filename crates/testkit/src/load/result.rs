//! Results of a load as its callers measured them.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Highest latency that the histograms record; longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Results of a load within the counted time.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Requests with a complete response of status 200.
    pub answered: u64,
    /// Requests that ended in any other way.
    pub failed: u64,
    /// Server-sent events received.
    pub events: u64,
    /// Latency from the planned start to the first byte, in microseconds.
    pub first_byte: Histogram<u64>,
    /// Latency from the planned start to the end, in microseconds.
    pub total: Histogram<u64>,
    /// Length of the counted time.
    pub elapsed: Duration,
}

impl LoadResult {
    pub(super) fn new(elapsed: Duration) -> Self {
        let empty = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        let empty = empty.unwrap_or_else(|e| unreachable!("constant bounds: {e}"));
        Self { answered: 0, failed: 0, events: 0, first_byte: empty.clone(), total: empty, elapsed }
    }

    pub(super) fn record(&mut self, first_byte: Duration, total: Duration) {
        let us = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        self.first_byte.saturating_record(us(first_byte));
        self.total.saturating_record(us(total));
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.events += other.events;
        // Both histograms have the same bounds.
        let _ = self.first_byte.add(&other.first_byte);
        let _ = self.total.add(&other.total);
    }

    /// Returns answered requests per second.
    #[must_use]
    pub fn requests_per_second(&self) -> f64 {
        self.answered as f64 / self.elapsed.as_secs_f64()
    }

    /// Returns events per second.
    #[must_use]
    pub fn events_per_second(&self) -> f64 {
        self.events as f64 / self.elapsed.as_secs_f64()
    }
}

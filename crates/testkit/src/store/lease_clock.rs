//! The time by which leases lapse.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Runs with the time, except while it is paused: the store's leases either
/// lapse in an outage or wait for its end.
#[derive(Debug)]
pub(super) struct LeaseClock {
    start: Instant,
    state: Mutex<Pauses>,
}

#[derive(Debug, Default)]
struct Pauses {
    /// Pauses that have ended, together.
    ended: Duration,
    /// Start of the present one.
    since: Option<Instant>,
}

impl LeaseClock {
    pub(super) fn new() -> Self {
        Self { start: Instant::now(), state: Mutex::default() }
    }

    pub(super) fn now(&self) -> Duration {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let present = state.since.map_or(Duration::ZERO, |since| since.elapsed());
        self.start.elapsed().saturating_sub(state.ended + present)
    }

    pub(super) fn pause(&self, pause: bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if pause {
            state.since.get_or_insert_with(Instant::now);
        } else if let Some(since) = state.since.take() {
            state.ended += since.elapsed();
        }
    }
}

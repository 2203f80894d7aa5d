//! Clock of the leases.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// A clock that can be paused. The real store's leases may expire during an
/// outage or be held until its end: a running clock simulates the first case,
/// a paused one the second.
#[derive(Debug)]
pub(super) struct LeaseClock {
    start: Instant,
    state: Mutex<Pauses>,
}

#[derive(Debug, Default)]
struct Pauses {
    /// Total duration of the completed pauses.
    total: Duration,
    /// Start of the current pause.
    current_start: Option<Instant>,
}

impl LeaseClock {
    pub(super) fn new() -> Self {
        Self { start: Instant::now(), state: Mutex::default() }
    }

    pub(super) fn now(&self) -> Duration {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let current = state.current_start.map_or(Duration::ZERO, |since| since.elapsed());
        self.start.elapsed().saturating_sub(state.total + current)
    }

    pub(super) fn pause(&self, pause: bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if pause {
            state.current_start.get_or_insert_with(Instant::now);
        } else if let Some(since) = state.current_start.take() {
            state.total += since.elapsed();
        }
    }
}

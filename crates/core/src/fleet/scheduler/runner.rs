//! A runner as the ranking sees it.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::RequestId, time::MonoTime};

use super::ewma::Ewma;

/// Prefill time of a token before anything was observed, in microseconds.
const DEFAULT_PREFILL_US: f64 = 22.0;

/// Time of a generated token before anything was observed, in microseconds.
const DEFAULT_DECODE_US: f64 = 6_500.0;

/// Time of a plain service's answer before anything was observed.
const DEFAULT_SERVICE_US: f64 = 60_000.0;

/// Time from dispatch to the first token that does not depend on the prompt:
/// the way there and back and one step of the engine.
pub(super) const FIXED_FIRST_US: f64 = 22_000.0;

/// First pause after failures that look like the runner's own fault.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_millis(3_000);

/// Pause after the runner turned a request away.
const FULL_PAUSE: Duration = Duration::from_millis(120);

/// Why a dispatch to a runner came to nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchFailure {
    /// No connection, or the connection broke.
    Broken,
    /// The runner says that it has no place.
    Full,
}

/// Rates that were learned of one runner.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rates {
    pub(super) prefill_us: Ewma,
    pub(super) decode_us: Ewma,
    pub(super) service_us: Ewma,
}

/// A request at a runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flight {
    pub(super) granted: MonoTime,
    pub(super) prompt: u32,
    /// Prompt tokens that were pending before it.
    pub(super) ahead: u32,
    pub(super) answering: bool,
}

/// A runner with its load and what was learned of it.
#[derive(Clone, Debug)]
pub struct RunnerState {
    /// Requests that it may work on at the same time.
    pub slots: u32,
    /// True if it gets no new work.
    pub leaving: bool,
    pub(super) flights: BTreeMap<RequestId, Flight>,
    pub(super) pending_prompt: u32,
    pub(super) rates: Rates,
    pub(super) paused_until: MonoTime,
    pub(super) failures: u32,
}

impl RunnerState {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            leaving: false,
            flights: BTreeMap::new(),
            pending_prompt: 0,
            rates: Rates::default(),
            paused_until: MonoTime::ZERO,
            failures: 0,
        }
    }

    /// Requests that it works on.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.flights.len()
    }

    pub(super) fn is_usable(&self, now: MonoTime) -> bool {
        !self.leaving && now >= self.paused_until
    }

    pub(super) fn has_place(&self, now: MonoTime) -> bool {
        self.is_usable(now) && !self.is_full()
    }

    pub(super) fn is_full(&self) -> bool {
        // After failures in a row, one request tries whether it works again.
        let slots = if self.failures > 1 { 1 } else { self.slots };
        self.flights.len() >= slots as usize
    }

    /// Part of the places that are taken.
    pub(super) fn load(&self) -> f64 {
        self.flights.len() as f64 / f64::from(self.slots.max(1))
    }

    pub(super) fn prefill_us(&self) -> f64 {
        self.rates.prefill_us.get().unwrap_or(DEFAULT_PREFILL_US)
    }

    pub(super) fn decode_us(&self) -> f64 {
        self.rates.decode_us.get().unwrap_or(DEFAULT_DECODE_US)
    }

    pub(super) fn service_us(&self) -> f64 {
        self.rates.service_us.get().unwrap_or(DEFAULT_SERVICE_US)
    }

    pub(super) fn start(&mut self, now: MonoTime, id: RequestId, prompt: u32) {
        let ahead = self.pending_prompt;
        self.pending_prompt += prompt;
        self.flights.insert(id, Flight { granted: now, prompt, ahead, answering: false });
    }

    /// Takes a request out, with its prompt if it was not prefilled yet.
    pub(super) fn end(&mut self, id: RequestId) -> Option<Flight> {
        let flight = self.flights.remove(&id)?;
        if !flight.answering {
            self.pending_prompt -= flight.prompt;
        }
        Some(flight)
    }

    pub(super) fn fail(&mut self, now: MonoTime, failure: DispatchFailure) {
        let pause = match failure {
            DispatchFailure::Full => FULL_PAUSE,
            DispatchFailure::Broken => {
                self.failures += 1;
                (FIRST_PAUSE * 2_u32.saturating_pow(self.failures.min(8) - 1)).min(LONGEST_PAUSE)
            }
        };
        self.paused_until = self.paused_until.max(now + pause);
    }

    pub(super) fn succeed(&mut self) {
        self.failures = 0;
    }
}

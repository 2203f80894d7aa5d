//! The faults of the store, settable while it runs.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::rate::RateLimit;

/// How the store fails all calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreOutage {
    /// It refuses every call; nothing was done.
    Busy,
    /// It cuts each connection without an answer and without effect.
    Cut,
    /// It refuses every call for its rate.
    RateLimited,
    /// It takes each call and never answers it; without effect.
    Silent,
}

/// Faults of the store. The default has none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreFaults {
    outage: Option<StoreOutage>,
    delay: Duration,
    lost_replies: u32,
    lost_prefix: String,
    done_later: Option<Duration>,
    reads_per_second: Option<u32>,
    writes_per_second: Option<u32>,
    first_pages_only: bool,
}

impl StoreFaults {
    /// No faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Fails all calls.
    #[must_use]
    pub fn with_outage(mut self, outage: StoreOutage) -> Self {
        self.outage = Some(outage);
        self
    }

    /// Delays each reply.
    #[must_use]
    pub fn with_delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }

    /// Cuts the connection after the effect of the next `count` writes of keys
    /// with this prefix.
    #[must_use]
    pub fn with_lost_replies(mut self, prefix: &str, count: u32) -> Self {
        self.lost_replies = count;
        prefix.clone_into(&mut self.lost_prefix);
        self
    }

    /// Writes whose replies are lost have their effect after this time, if their
    /// condition still holds then.
    #[must_use]
    pub fn with_effects_after(mut self, time: Duration) -> Self {
        self.done_later = Some(time);
        self
    }

    /// Refuses reads over this rate.
    #[must_use]
    pub fn with_reads_per_second(mut self, rate: u32) -> Self {
        self.reads_per_second = Some(rate);
        self
    }

    /// Refuses every page of a list but the first.
    #[must_use]
    pub fn with_first_pages_only(mut self) -> Self {
        self.first_pages_only = true;
        self
    }

    /// Refuses writes over this rate.
    #[must_use]
    pub fn with_writes_per_second(mut self, rate: u32) -> Self {
        self.writes_per_second = Some(rate);
        self
    }
}

/// What becomes of one write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WriteFault {
    /// It is done and answered.
    None,
    /// It is done, and its reply is lost.
    Lost,
    /// Its reply is lost, and it is done after this time.
    Later(Duration),
}

#[derive(Debug, Default)]
struct State {
    faults: StoreFaults,
    reads: Option<RateLimit>,
    writes: Option<RateLimit>,
}

/// The faults in force.
#[derive(Debug, Default)]
pub(super) struct FaultSwitch(Mutex<State>);

impl FaultSwitch {
    pub(super) fn set(&self, faults: StoreFaults) {
        let reads = faults.reads_per_second.map(RateLimit::new);
        let writes = faults.writes_per_second.map(RateLimit::new);
        *self.lock() = State { faults, reads, writes };
    }

    pub(super) fn outage(&self) -> Option<StoreOutage> {
        self.lock().faults.outage
    }

    pub(super) fn delay(&self) -> Duration {
        self.lock().faults.delay
    }

    pub(super) fn first_pages_only(&self) -> bool {
        self.lock().faults.first_pages_only
    }

    /// Takes one call from the read or write limit.
    pub(super) fn within_rate(&self, write: bool) -> bool {
        let mut state = self.lock();
        let limit = if write { &mut state.writes } else { &mut state.reads };
        limit.as_mut().is_none_or(RateLimit::take)
    }

    /// What becomes of a write of this key.
    pub(super) fn of_write(&self, key: &str) -> WriteFault {
        let faults = &mut self.lock().faults;
        if faults.lost_replies == 0 || !key.starts_with(&faults.lost_prefix) {
            return WriteFault::None;
        }
        faults.lost_replies -= 1;
        faults.done_later.map_or(WriteFault::Lost, WriteFault::Later)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! The faults of the service, settable while it runs.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::sync::watch;

use super::rate::RateLimit;

/// How the service fails all calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outage {
    /// Answers each call with status 503, without effect.
    Unavailable,
    /// Cuts each connection without an answer and without effect.
    Cut,
    /// Takes each call and never answers it; without effect.
    Hang,
}

/// Faults of the service. The default has none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KvFaults {
    outage: Option<Outage>,
    delay: Duration,
    lost_replies: u32,
    lost_prefix: String,
    reads_per_second: Option<u32>,
    writes_per_second: Option<u32>,
}

impl KvFaults {
    /// No faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Fails all calls.
    #[must_use]
    pub fn with_outage(mut self, outage: Outage) -> Self {
        self.outage = Some(outage);
        self
    }

    /// Delays each reply.
    #[must_use]
    pub fn with_delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }

    /// Cuts the connection after the effect of the next `count` conditional
    /// writes of keys with this prefix.
    #[must_use]
    pub fn with_lost_replies(mut self, prefix: &str, count: u32) -> Self {
        self.lost_replies = count;
        prefix.clone_into(&mut self.lost_prefix);
        self
    }

    /// Refuses reads over this rate.
    #[must_use]
    pub fn with_reads_per_second(mut self, rate: u32) -> Self {
        self.reads_per_second = Some(rate);
        self
    }

    /// Refuses writes over this rate.
    #[must_use]
    pub fn with_writes_per_second(mut self, rate: u32) -> Self {
        self.writes_per_second = Some(rate);
        self
    }
}

#[derive(Debug, Default)]
struct State {
    faults: KvFaults,
    reads: Option<RateLimit>,
    writes: Option<RateLimit>,
}

/// The faults in force.
#[derive(Debug)]
pub(super) struct FaultSwitch {
    state: Mutex<State>,
    outage: watch::Sender<Option<Outage>>,
}

impl Default for FaultSwitch {
    fn default() -> Self {
        Self { state: Mutex::default(), outage: watch::channel(None).0 }
    }
}

impl FaultSwitch {
    pub(super) fn set(&self, faults: KvFaults) {
        let mut state = self.lock();
        state.reads = faults.reads_per_second.map(RateLimit::new);
        state.writes = faults.writes_per_second.map(RateLimit::new);
        self.outage.send_replace(faults.outage);
        state.faults = faults;
    }

    pub(super) fn outage(&self) -> Option<Outage> {
        *self.outage.borrow()
    }

    pub(super) fn outages(&self) -> watch::Receiver<Option<Outage>> {
        self.outage.subscribe()
    }

    pub(super) fn delay(&self) -> Duration {
        self.lock().faults.delay
    }

    /// Takes one call from the read or write limit.
    pub(super) fn within_rate(&self, write: bool) -> bool {
        let mut state = self.lock();
        let limit = if write { &mut state.writes } else { &mut state.reads };
        limit.as_mut().is_none_or(RateLimit::take)
    }

    /// Takes one lost reply if one is set for this key.
    pub(super) fn loses_reply(&self, key: &str) -> bool {
        let faults = &mut self.lock().faults;
        let lost = faults.lost_replies > 0 && key.starts_with(&faults.lost_prefix);
        if lost {
            faults.lost_replies -= 1;
        }
        lost
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

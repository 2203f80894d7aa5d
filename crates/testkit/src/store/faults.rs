//! Faults of the store, which can be changed while it runs.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::rate::TokenBucket;

/// How all calls to the store fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreOutage {
    /// Refuses every call with status 503, without effect.
    Busy,
    /// Closes each connection without a response and without effect.
    Cut,
    /// Refuses every call with status 429, without effect.
    RateLimited,
    /// Accepts each call and sends no response while the outage lasts, without
    /// effect.
    Silent,
}

/// Faults of the store. The default has none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreFaults {
    outage: Option<StoreOutage>,
    delay: Duration,
    lost_replies: u32,
    lost_prefix: String,
    effect_delay: Option<Duration>,
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

    /// Sets how all calls fail.
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

    /// Closes the connection instead of sending the reply to the next `count`
    /// writes whose first key has this prefix. The writes take effect.
    #[must_use]
    pub fn with_lost_replies(mut self, prefix: &str, count: u32) -> Self {
        self.lost_replies = count;
        prefix.clone_into(&mut self.lost_prefix);
        self
    }

    /// Delays the effect of writes with lost replies. They are done after this
    /// time, if their condition still holds then.
    #[must_use]
    pub fn with_effects_after(mut self, delay: Duration) -> Self {
        self.effect_delay = Some(delay);
        self
    }

    /// Refuses reads over this rate with status 429.
    #[must_use]
    pub fn with_reads_per_second(mut self, rate: u32) -> Self {
        self.reads_per_second = Some(rate);
        self
    }

    /// Refuses every page of a list except the first with status 503.
    #[must_use]
    pub fn with_first_pages_only(mut self) -> Self {
        self.first_pages_only = true;
        self
    }

    /// Refuses writes over this rate with status 429.
    #[must_use]
    pub fn with_writes_per_second(mut self, rate: u32) -> Self {
        self.writes_per_second = Some(rate);
        self
    }
}

/// Fault of one write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WriteFault {
    /// The write is done and its reply is sent.
    None,
    /// The write is done and its reply is lost.
    ReplyLost,
    /// The reply is lost, and the write is done after this time.
    Delayed(Duration),
}

#[derive(Debug, Default)]
struct State {
    faults: StoreFaults,
    reads: Option<TokenBucket>,
    writes: Option<TokenBucket>,
}

/// The faults that are in effect.
#[derive(Debug, Default)]
pub(super) struct ActiveFaults(Mutex<State>);

impl ActiveFaults {
    pub(super) fn set(&self, faults: StoreFaults) {
        let reads = faults.reads_per_second.map(TokenBucket::new);
        let writes = faults.writes_per_second.map(TokenBucket::new);
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

    /// Takes one call from the limit for reads or writes. Returns true if the limit
    /// allows it.
    pub(super) fn within_rate(&self, write: bool) -> bool {
        let mut state = self.lock();
        let limit = if write { &mut state.writes } else { &mut state.reads };
        limit.as_mut().is_none_or(TokenBucket::try_take)
    }

    /// Returns the fault of a write whose first key is `key`.
    pub(super) fn write_fault(&self, key: &str) -> WriteFault {
        let faults = &mut self.lock().faults;
        if faults.lost_replies == 0 || !key.starts_with(&faults.lost_prefix) {
            return WriteFault::None;
        }
        faults.lost_replies -= 1;
        faults.effect_delay.map_or(WriteFault::ReplyLost, WriteFault::Delayed)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

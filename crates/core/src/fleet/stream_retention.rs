//! For how long streams and versions are remembered.
//!
//! A request keeps the time limit that it was admitted with, and its caller may come back
//! for as long as it said it would wait. A change of the configuration changes neither, so a
//! shorter retention applies only to what is used after the change.

use std::time::Duration;

use crate::time::MonoTime;

/// Number of time limits after which a caller no longer takes up a stream.
const RETENTION_LIMITS: u32 = 2;

/// Longest wait of a caller that counts. It bounds what callers can make a host remember.
const MAX_CALLER_WAIT: Duration = Duration::from_secs(60);

/// Returns the time after its last use for which a stream may be taken up again. `time_limit`
/// is that of the route it was admitted by, `caller_wait` the time that its caller said it
/// would wait.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use comfreyway_core::fleet::stream_retention;
///
/// let seconds = Duration::from_secs;
/// assert_eq!(stream_retention(seconds(15), None), seconds(30));
/// assert_eq!(stream_retention(seconds(2), Some(seconds(15))), seconds(30));
/// assert_eq!(stream_retention(seconds(2), Some(Duration::MAX)), seconds(120));
/// ```
#[must_use]
pub fn stream_retention(time_limit: Duration, caller_wait: Option<Duration>) -> Duration {
    let wait = caller_wait.unwrap_or_default().min(MAX_CALLER_WAIT);
    time_limit.max(wait).saturating_mul(RETENTION_LIMITS)
}

/// A retention and when it was last in use.
#[derive(Clone, Copy, Debug, Default)]
struct LastUsed {
    retention: Duration,
    at: MonoTime,
}

impl LastUsed {
    /// Returns the retention, or zero once everything that it applied to has expired.
    fn current(self, now: MonoTime) -> Duration {
        if now.since(self.at) <= self.retention { self.retention } else { Duration::ZERO }
    }
}

/// The retention in force, and what is left of longer ones.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use comfreyway_core::{fleet::StreamRetention, time::MonoTime};
///
/// let at = MonoTime::from_millis;
/// let mut retention = StreamRetention::default();
/// retention.set_configured(at(0), Duration::from_secs(30));
/// retention.set_configured(at(10_000), Duration::from_secs(4));
/// // A stream may have begun right before the change.
/// assert_eq!(retention.keep_until(at(11_000)), at(40_000));
/// assert_eq!(retention.keep_until(at(39_000)), at(43_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamRetention {
    /// By the configuration in force.
    configured: Duration,
    /// The longest that open requests ask for.
    requested: LastUsed,
    /// By the store's record, for streams of other hosts and of earlier configurations.
    recorded: LastUsed,
    /// What was used before a change is remembered until then.
    floor: MonoTime,
}

impl StreamRetention {
    /// Sets the retention by the configuration in force.
    pub fn set_configured(&mut self, now: MonoTime, retention: Duration) {
        if retention < self.configured {
            self.floor = self.floor.max(now + self.configured);
        }
        self.configured = retention;
    }

    /// Applies the retention of a request that was submitted.
    pub fn request_submitted(&mut self, now: MonoTime, retention: Duration) {
        self.floor = self.floor.max(now + retention);
        if retention >= self.requested.current(now) {
            self.requested = LastUsed { retention, at: now };
        }
    }

    /// Applies the retention of the store's record.
    pub fn set_recorded(&mut self, now: MonoTime, retention: Duration) {
        if retention < self.recorded.retention {
            self.floor = self.floor.max(now + self.recorded.retention);
        }
        self.recorded = LastUsed { retention, at: now };
    }

    /// Returns the retention that the store's record should have. A longer one stays until it
    /// has expired, and until all that this host remembers by a longer one has: hosts that
    /// start know it from there alone.
    #[must_use]
    pub fn to_record(&self, now: MonoTime) -> Duration {
        let own = self.own(now);
        match self.floor > now + own {
            true => own.max(self.recorded.retention),
            false => own.max(self.recorded.current(now)),
        }
    }

    /// Returns the time until which something that is used at `used_at` is remembered.
    #[must_use]
    pub fn keep_until(&self, used_at: MonoTime) -> MonoTime {
        let retention = self.own(used_at).max(self.recorded.retention);
        self.floor.max(used_at + retention)
    }

    fn own(&self, now: MonoTime) -> Duration {
        self.configured.max(self.requested.current(now))
    }
}

//! Monotonic time, passed as an argument to the decision logic.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Monotonic time in microseconds since the start of the process.
///
/// Values from different processes are not comparable, so messages between
/// processes carry only durations.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// Creates a time from microseconds since the start.
    #[must_use]
    pub fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Creates a time from milliseconds since the start.
    #[must_use]
    pub fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the microseconds since the start.
    #[must_use]
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use comfreyway_core::time::MonoTime;
    ///
    /// let start = MonoTime::from_millis(2);
    /// assert_eq!(MonoTime::from_millis(5).since(start), Duration::from_millis(3));
    /// assert_eq!(MonoTime::ZERO.since(start), Duration::ZERO);
    /// ```
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        let us = u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(us))
    }
}

impl Sub<Duration> for MonoTime {
    type Output = Self;

    fn sub(self, d: Duration) -> Self {
        let us = u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(us))
    }
}

//! Monotonic time as an argument.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A point in one process's monotonic time, in microseconds since its start.
///
/// Values of two processes are not comparable. Messages between processes
/// carry durations only.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// A time given in microseconds since the start.
    #[must_use]
    pub fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// A time given in milliseconds since the start.
    #[must_use]
    pub fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Microseconds since the start.
    #[must_use]
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Time passed since `earlier`, or zero if `earlier` is later.
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

//! Loads and disturbances of an experiment.

use std::{fmt, time::Duration};

use comfreyway_core::time::MonoTime;

/// Length of the arrivals.
pub(crate) const DURATION: Duration = Duration::from_secs(100);

/// Arrivals before this time are not counted.
pub(crate) const WARM_UP: Duration = Duration::from_secs(20);

/// When the disturbance starts and ends.
pub(crate) const DISTURBED: (Duration, Duration) =
    (Duration::from_secs(45), Duration::from_secs(60));

/// Factor on the lowest tier's rate in a burst.
const BURST_FACTOR: f64 = 5.0;

/// Age of reports in the other scenarios.
const REPORT_AGE: Duration = Duration::from_millis(200);

/// Age of reports that are stale.
const STALE_REPORT_AGE: Duration = Duration::from_secs(2);

/// A disturbance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// None.
    Steady,
    /// The lowest tier arrives five times as often for a while.
    Burst,
    /// One engine runs at a quarter of its speed for a while.
    SlowEngine,
    /// Reports are two seconds old.
    StaleReports,
    /// One runner is lost.
    RunnerLost,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 5] =
        [Self::Steady, Self::Burst, Self::SlowEngine, Self::StaleReports, Self::RunnerLost];

    /// Factor on the lowest tier's rate and its time.
    #[must_use]
    pub(crate) fn burst(self) -> Option<(f64, MonoTime, MonoTime)> {
        let (start, end) = DISTURBED;
        let times = (BURST_FACTOR, MonoTime::ZERO + start, MonoTime::ZERO + end);
        (self == Self::Burst).then_some(times)
    }

    /// Age of load reports and cache events.
    #[must_use]
    pub(crate) fn report_age(self) -> Duration {
        if self == Self::StaleReports { STALE_REPORT_AGE } else { REPORT_AGE }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Steady => "steady",
            Self::Burst => "burst",
            Self::SlowEngine => "slow-engine",
            Self::StaleReports => "stale-reports",
            Self::RunnerLost => "runner-lost",
        })
    }
}

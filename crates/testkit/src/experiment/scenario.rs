//! Disturbances of an experiment.

use std::{fmt, time::Duration};

use comfreyway_core::time::MonoTime;

/// Time span in which requests arrive.
pub(crate) const DURATION: Duration = Duration::from_secs(100);

/// Time before which arrivals do not count.
pub(crate) const WARM_UP: Duration = Duration::from_secs(20);

/// Start and end of the disturbance.
pub(crate) const DISTURBANCE: (Duration, Duration) =
    (Duration::from_secs(45), Duration::from_secs(60));

/// Factor on the lowest tier's request rate in a burst.
const BURST_FACTOR: f64 = 5.0;

/// Age of reports unless they are stale.
const REPORT_AGE: Duration = Duration::from_millis(200);

/// Age of stale reports.
const STALE_REPORT_AGE: Duration = Duration::from_secs(2);

/// Disturbance of the pool or its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// No disturbance.
    Steady,
    /// For a while, requests of the lowest tier arrive five times as often.
    Burst,
    /// For a while, one engine runs at a quarter of its speed.
    SlowEngine,
    /// Load reports and cache events arrive two seconds late.
    StaleReports,
    /// One runner crashes and does not come back.
    RunnerLost,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 5] =
        [Self::Steady, Self::Burst, Self::SlowEngine, Self::StaleReports, Self::RunnerLost];

    /// Returns the factor on the lowest tier's rate, with its start and end.
    #[must_use]
    pub(crate) fn burst(self) -> Option<(f64, MonoTime, MonoTime)> {
        let (start, end) = DISTURBANCE;
        let burst = (BURST_FACTOR, MonoTime::ZERO + start, MonoTime::ZERO + end);
        (self == Self::Burst).then_some(burst)
    }

    /// Returns the age at which load reports and cache events arrive.
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

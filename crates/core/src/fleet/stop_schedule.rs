//! What a host that stops still does, and until when.
//!
//! It answers the load that is there when it is told to stop, and what the load balancer
//! sends until it has noticed. What waits for a runner gives up the host while there is still
//! time for what runs: no other host knows these requests, and a caller without an answer
//! may not repeat one that must not run twice.

use std::time::Duration;

/// Time between the stop signal and the closing of idle connections. The load balancer polls
/// once a second and needs two failed checks.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_400);

/// Time before the stop limit at which the process ends even with requests in progress.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Time for the last responses to reach their callers.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// Part of the stop limit that is left for requests that are dispatched last.
const RUN_FRACTION: f64 = 0.25;

/// Phase of a planned stop, in order.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum StopPhase {
    /// No stop.
    #[default]
    Serving,
    /// Not ready; requests are served, each as the last one of its connection.
    Draining,
    /// Idle connections are closed, new requests are refused.
    Refusing,
    /// Requests that wait for a runner are refused as well: they have not run.
    Dispatched,
    /// Requests that run are answered with an unknown outcome.
    Aborting,
    /// The process ends.
    Ended,
}

/// The phases of a planned stop.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use comfreyway_core::fleet::{StopPhase, StopSchedule};
///
/// let schedule = StopSchedule::new(Some(Duration::from_secs(8)));
/// let phase = |ms| schedule.phase(Duration::from_millis(ms));
/// assert_eq!(phase(2_399), StopPhase::Draining);
/// assert_eq!(phase(2_400), StopPhase::Refusing);
/// assert_eq!(phase(5_300), StopPhase::Dispatched);
/// assert_eq!(phase(7_300), StopPhase::Aborting);
/// assert_eq!(phase(7_600), StopPhase::Ended);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct StopSchedule {
    refuse_at: Duration,
    /// None without a stop limit.
    limits: Option<Limits>,
}

#[derive(Clone, Copy, Debug)]
struct Limits {
    dispatch_until: Duration,
    answer_until: Duration,
    end: Duration,
}

impl StopSchedule {
    /// Creates the schedule for a stop limit. Without one, all requests are completed.
    #[must_use]
    pub fn new(limit: Option<Duration>) -> Self {
        let limits = limit.map(|limit| {
            let end = limit.saturating_sub(STOP_MARGIN);
            let answer_until = end.saturating_sub(FLUSH_TIME);
            let dispatch_until = answer_until.saturating_sub(limit.mul_f64(RUN_FRACTION));
            Limits { dispatch_until, answer_until, end }
        });
        let refuse_at =
            limits.map_or(BALANCER_DRAIN_TIME, |l| l.dispatch_until.min(BALANCER_DRAIN_TIME));
        Self { refuse_at, limits }
    }

    /// Returns the phase at a time after the stop signal.
    #[must_use]
    pub fn phase(&self, elapsed: Duration) -> StopPhase {
        match self.limits {
            Some(limits) if elapsed >= limits.end => StopPhase::Ended,
            Some(limits) if elapsed >= limits.answer_until => StopPhase::Aborting,
            Some(limits) if elapsed >= limits.dispatch_until => StopPhase::Dispatched,
            _ if elapsed >= self.refuse_at => StopPhase::Refusing,
            _ => StopPhase::Draining,
        }
    }
}

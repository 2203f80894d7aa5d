//! Runners that reject requests, and the arrivals beyond the first of each request.

use std::collections::{BTreeMap, BTreeSet};

use comfreyway_core::{fleet::RetryBudgetLimits, ids::RequestId, outcome::RetryReason};
use rand::RngExt;

use super::{Crashing, Faults, Fleet, Pool};

/// Limits of plays in which no budget is spent.
pub(super) const NO_RETRY_LIMITS: RetryBudgetLimits =
    RetryBudgetLimits { ratio: 1.0, slack: 1_000.0, window_s: 10.0 };

/// Limits of plays with rejections.
const RETRY_LIMITS: RetryBudgetLimits =
    RetryBudgetLimits { ratio: 0.2, slack: 40.0, window_s: 10.0 };

const WINDOW_MS: u64 = 10_000;

/// Runners that reject requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rejections {
    /// Share of the arrivals.
    pub(crate) share: f64,
    /// Why the hosts requeue them.
    pub(crate) reason: RetryReason,
    /// Time between the ends of two coordinators, if they end.
    pub(crate) coordinator_ms: Option<u64>,
}

/// The requests of a play and their arrivals at runners.
#[derive(Debug, Default)]
pub(super) struct RetryLog {
    /// Times of the requests of callers.
    requests: Vec<u64>,
    /// Times of the arrivals beyond the first of each request.
    again: Vec<u64>,
    /// Submissions of requests that runners had before.
    retries: BTreeSet<RequestId>,
    arrivals: BTreeMap<RequestId, usize>,
}

impl RetryLog {
    pub(super) fn submitted(&mut self, now_ms: u64, id: RequestId, attempts: u32) {
        match attempts {
            0 => self.requests.push(now_ms),
            _ => drop(self.retries.insert(id)),
        }
    }

    fn arrived(&mut self, now_ms: u64, id: RequestId) {
        let arrivals = self.arrivals.entry(id).or_default();
        *arrivals += 1;
        if *arrivals > 1 || self.retries.contains(&id) {
            self.again.push(now_ms);
        }
    }

    /// Returns the most by which a window has more arrivals beyond the first than the
    /// requests of it, of the one before it or of the one half a window before allow.
    fn worst_excess(&self, limits: RetryBudgetLimits) -> f64 {
        let count = |times: &[u64], from: i64| {
            let until = from + WINDOW_MS as i64;
            let before = |at: i64| times.partition_point(|time| (*time as i64) < at);
            before(until) - before(from)
        };
        let excess = self.again.iter().map(|from| {
            let from = *from as i64;
            let shifts = [0, WINDOW_MS as i64, WINDOW_MS as i64 / 2];
            let requests = shifts.map(|shift| count(&self.requests, from - shift));
            let most = requests.into_iter().max().unwrap_or_default();
            count(&self.again, from) as f64 - most as f64 * limits.ratio - limits.slack
        });
        excess.fold(f64::NEG_INFINITY, f64::max)
    }
}

impl Fleet {
    /// Creates a fleet of a plain service whose runners reject requests.
    pub(crate) fn with_rejections(seed: u64, rejections: Rejections, faults: Faults) -> Self {
        let no_crash: &[Crashing] = &[];
        let mut fleet =
            Self::with_retry_limits(seed, Pool::Service, no_crash, faults, RETRY_LIMITS);
        fleet.rejections = Some(rejections);
        fleet.steps_per_request = 1;
        fleet
    }

    /// Returns why the runner that a request has reached rejects it, if it does.
    pub(super) fn reject(&mut self, id: RequestId) -> Option<RetryReason> {
        self.retry_log.arrived(self.now_ms, id);
        let Rejections { share, reason, .. } = self.rejections?;
        self.rng.random_bool(share).then_some(reason)
    }

    /// Kills the coordinator if it is due.
    pub(super) fn kill_often(&mut self) {
        let interval = self.rejections.and_then(|rejections| rejections.coordinator_ms);
        if interval.is_some_and(|interval| self.now_ms.is_multiple_of(interval)) {
            self.kill(self.leader);
        }
    }

    /// Returns the most arrivals beyond the first, above what the limits allow in a window.
    pub(crate) fn excess_retries(&self) -> f64 {
        self.retry_log.worst_excess(self.retry_limits)
    }

    /// Returns the number of arrivals beyond the first.
    pub(crate) fn retries(&self) -> usize {
        self.retry_log.again.len()
    }
}

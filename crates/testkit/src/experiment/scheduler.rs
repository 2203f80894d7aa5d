//! Scheduling policies of an experiment: the real pool and the baselines.

use std::{fmt, time::Duration};

use comfreyway_core::{
    ids::{Epoch, PoolId},
    pool::{Pool, PoolAction, PoolInput, PoolSettings},
    time::MonoTime,
};

use super::baseline::{Baseline, LoadBalancing};

/// One-way delay of a message between an entry and the pool owner.
const OWNER_DELAY: Duration = Duration::from_millis(1);

/// Scheduler with the inputs and actions of a pool owner.
pub(crate) trait Scheduler {
    /// Handles one input and appends the resulting actions to `out`.
    fn handle(&mut self, now: MonoTime, input: PoolInput, out: &mut Vec<PoolAction>);

    /// Returns the state as text.
    fn describe(&self, _now: MonoTime) -> String {
        String::new()
    }
}

impl Scheduler for Pool {
    fn handle(&mut self, now: MonoTime, input: PoolInput, out: &mut Vec<PoolAction>) {
        Pool::handle(self, now, input, out);
    }

    fn describe(&self, now: MonoTime) -> String {
        let runners = self.runners(now).into_iter().map(|view| format!("{view:?}\n"));
        let runners: String = runners.collect();
        format!("{runners}{:#?}\n{:?}\n", self.counters(), self.sizes())
    }
}

/// Scheduling policy to compare.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The pool owner of the daemon.
    Pool,
    /// Round robin, in order of arrival.
    RoundRobin,
    /// The runner with the least reported load.
    LeastReported,
    /// Power of two choices, by each entry's requests in progress.
    TwoChoices,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 4] =
        [Self::Pool, Self::RoundRobin, Self::LeastReported, Self::TwoChoices];

    /// Creates a scheduler with this policy.
    #[must_use]
    pub(crate) fn scheduler(self, seed: u64) -> Box<dyn Scheduler> {
        let balancing = match self {
            Self::Pool => return Box::new(Pool::new(pool_settings())),
            Self::RoundRobin => LoadBalancing::RoundRobin,
            Self::LeastReported => LoadBalancing::LeastReported,
            Self::TwoChoices => LoadBalancing::TwoChoices,
        };
        Box::new(Baseline::new(balancing, seed))
    }

    /// Returns the one-way delay of messages between entry and scheduler.
    #[must_use]
    pub(crate) fn message_delay(self) -> Duration {
        match self {
            Self::Pool => OWNER_DELAY,
            Self::LeastReported | Self::RoundRobin | Self::TwoChoices => Duration::ZERO,
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Pool => "comfreyway",
            Self::RoundRobin => "round-robin",
            Self::LeastReported => "least-reported",
            Self::TwoChoices => "two-choices",
        })
    }
}

fn pool_settings() -> PoolSettings {
    let upstream = "model".parse().expect("a valid name");
    let region = "region".parse().expect("a valid name");
    PoolSettings::new(PoolId { upstream, region }, Epoch { issued: 1, provisional: 0 })
}

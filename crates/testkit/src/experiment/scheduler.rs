//! What an experiment drives: the real pool or a baseline.

use std::{fmt, time::Duration};

use comfreyway_core::{
    ids::{Epoch, PoolId},
    pool::{Pool, PoolAction, PoolInput, PoolSettings},
    time::MonoTime,
};

use super::baseline::{Baseline, Choice};

/// Time of a message between an entry and the pool owner.
const OWNER_HOP: Duration = Duration::from_millis(1);

/// Takes the inputs of a pool owner and returns its actions.
pub(crate) trait Scheduler {
    /// Decides on one input.
    fn handle(&mut self, now: MonoTime, input: PoolInput, out: &mut Vec<PoolAction>);

    /// What it has learned and decided so far, for people.
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

/// A policy under comparison.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The real pool owner.
    Pool,
    /// Round robin in order of arrival.
    RoundRobin,
    /// Least reported load.
    LeastReported,
    /// Each entry for itself, by the power of two choices.
    TwoChoices,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 4] =
        [Self::Pool, Self::RoundRobin, Self::LeastReported, Self::TwoChoices];

    /// A fresh scheduler of this policy.
    #[must_use]
    pub(crate) fn scheduler(self, seed: u64) -> Box<dyn Scheduler> {
        let choice = match self {
            Self::Pool => return Box::new(Pool::new(settings())),
            Self::RoundRobin => Choice::RoundRobin,
            Self::LeastReported => Choice::LeastReported,
            Self::TwoChoices => Choice::TwoChoices,
        };
        Box::new(Baseline::new(choice, seed))
    }

    /// Time of a message between an entry and the scheduler.
    #[must_use]
    pub(crate) fn hop(self) -> Duration {
        match self {
            Self::Pool => OWNER_HOP,
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

fn settings() -> PoolSettings {
    let upstream = "model".parse().expect("a valid name");
    let region = "region".parse().expect("a valid name");
    PoolSettings::new(PoolId { upstream, region }, Epoch { issued: 1, provisional: 0 })
}

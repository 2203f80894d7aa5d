//! Quarantine of prompt parts that crash runners.
//!
//! Protects against a part of prompts that ends every runner that responds to it,
//! whatever else the request holds. That a response broke is a fact about a runner and a
//! request; this is the request's side of it.
//!
//! - A break counts against the parts of the request, but at most once for requests
//!   that were in progress at the same time: runners that fail together have a common
//!   cause. A part with a complete response since its last break is left out as long as
//!   another part of the request has none.
//! - A complete response clears its parts.
//! - From two breaks on, requests with the part are tried one at a time.
//! - A break becomes a crash once its run is known to have ended, and none if the run
//!   goes on responding. Five crashes quarantine a part, or seven if it had complete responses
//!   before. Those don't count that another request of the run explains better.

mod evidence;
mod records;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::time::MonoTime;

use super::{PromptPart, RunnerKey};

pub use self::records::{PartRecord, RecordSource};

use self::evidence::Suspect;

/// Number of breaks from which on requests with a part are tried one at a time.
const TRIAL_BREAKS: usize = 2;

/// Number of crashes that quarantine a part.
const QUARANTINE_CRASHES: usize = 5;

/// Number of crashes that quarantine a part with earlier complete responses.
const PROVEN_QUARANTINE_CRASHES: usize = 7;

/// Time within which a run whose response broke is known to have ended: its entry is
/// removed from the store after three missed heartbeats.
const CONFIRM_TIME: Duration = Duration::from_secs(6);

/// Time after which a response that only the end of its connection ended counts as
/// complete, if its run has not ended.
const UNFRAMED_TIME: Duration = Duration::from_secs(2);

/// Maximum time between the ends of all connections of a run that crashed.
const CRASH_SPREAD: Duration = Duration::from_millis(100);

/// Time after a break from which on a response of the same run shows that it has not
/// ended: longer than hosts take to report what happened before.
const REPORT_TIME: Duration = Duration::from_millis(300);

/// Maximum number of parts of each kind that are remembered.
const MAX_PARTS: usize = 4_096;

/// How requests with a part may start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PartState {
    /// At any time.
    Free,
    /// One at a time.
    Trial,
    /// Not until it is known whether the runs that broke have ended.
    Stopped,
    /// Never.
    Quarantined,
}

/// The end of a request with parts at a run of a runner.
#[derive(Clone, Debug)]
pub struct PartRun {
    /// The run.
    pub runner: RunnerKey,
    /// Parts of the request's prompt, in order.
    pub parts: Vec<PromptPart>,
    /// When the request was granted.
    pub granted_at: MonoTime,
    /// When its end was reported.
    pub ended_at: MonoTime,
}

/// Decides which parts of prompts may reach runners.
///
/// # Examples
///
/// ```
/// use comfreyway_core::{
///     fleet::{PartQuarantine, PartRun, PartState, PromptPart, RunnerKey},
///     time::MonoTime,
/// };
///
/// let mut quarantine = PartQuarantine::default();
/// let part = PromptPart(0xbad);
/// for second in 0..5 {
///     let runner = RunnerKey { name: format!("r{second}").parse().unwrap(), started_ms: None };
///     let (granted_at, ended_at) =
///         (MonoTime::from_millis(second * 1_000 + 1), MonoTime::from_millis(second * 1_000 + 90));
///     let run = PartRun { runner: runner.clone(), parts: vec![part], granted_at, ended_at };
///     quarantine.broke(&run);
///     quarantine.run_ended(ended_at, &runner);
/// }
/// assert_eq!(quarantine.state(part), PartState::Quarantined);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    suspects: BTreeMap<PromptPart, Suspect>,
    /// Quarantined parts, with the runs that ended under them.
    quarantined: BTreeMap<PromptPart, Vec<RunnerKey>>,
    /// Parts that operators allowed again.
    allowed: BTreeSet<PromptPart>,
    /// Parts with a complete response since their last break.
    sound: BTreeSet<PromptPart>,
    /// Parts that have had a complete response.
    proven: BTreeSet<PromptPart>,
    /// Responses that only the end of their connections ended.
    unframed: Vec<PartRun>,
    /// Runs with breaks that may become crashes, and the last of them.
    unconfirmed: BTreeMap<RunnerKey, MonoTime>,
    /// Parts whose state may have changed since it was last taken.
    changed: BTreeSet<PromptPart>,
}

impl PartQuarantine {
    /// Returns how requests with this part may start.
    #[must_use]
    pub fn state(&self, part: PromptPart) -> PartState {
        if self.quarantined.contains_key(&part) {
            return PartState::Quarantined;
        }
        let Some(suspect) = self.suspects.get(&part) else { return PartState::Free };
        match suspect.breaks.len() {
            0..TRIAL_BREAKS => PartState::Free,
            TRIAL_BREAKS..QUARANTINE_CRASHES => PartState::Trial,
            _ if self.unexplained(part, suspect).count() < self.max_crashes(part) => {
                PartState::Trial
            }
            _ => PartState::Stopped,
        }
    }

    /// Returns how a request with these parts may start.
    #[must_use]
    pub fn state_of(&self, parts: &[PromptPart]) -> PartState {
        let is_empty = self.suspects.is_empty() && self.quarantined.is_empty();
        let parts = parts.iter().filter(|_| !is_empty);
        parts.map(|part| self.state(*part)).max().unwrap_or(PartState::Free)
    }

    /// Records that a response broke.
    pub fn broke(&mut self, run: &PartRun) {
        let at = run.ended_at;
        let same = |other: &mut PartRun| {
            other.runner == run.runner && at.since(other.ended_at) <= CRASH_SPREAD
        };
        for unframed in self.unframed.extract_if(.., same).collect::<Vec<_>>() {
            self.count_break(&unframed);
        }
        self.count_break(run);
    }

    /// Records a complete response.
    pub fn completed(&mut self, parts: &[PromptPart]) {
        for part in parts {
            if self.suspects.remove(part).is_some() {
                self.changed.insert(*part);
            }
            for parts in [&mut self.sound, &mut self.proven] {
                if parts.len() >= MAX_PARTS && !parts.contains(part) {
                    parts.pop_first();
                }
                parts.insert(*part);
            }
        }
    }

    /// Records a response that only the end of its connection ended.
    pub fn completed_unframed(&mut self, run: PartRun) {
        if self.unframed.len() < MAX_PARTS {
            self.unframed.push(run);
        }
    }

    /// Returns true if a break, or a response that may be one, waits for the end of
    /// its run to be known.
    #[must_use]
    pub fn has_unconfirmed(&self) -> bool {
        !self.unframed.is_empty() || !self.unconfirmed.is_empty()
    }

    /// Records that a run has ended without having left as planned.
    pub fn run_ended(&mut self, now: MonoTime, runner: &RunnerKey) {
        let same = |other: &mut PartRun| other.runner == *runner;
        for unframed in self.unframed.extract_if(.., same).collect::<Vec<_>>() {
            self.count_break(&unframed);
        }
        self.unconfirmed.remove(runner);
        for (part, suspect) in &mut self.suspects {
            if suspect.confirm(now, runner) {
                self.changed.insert(*part);
            }
        }
        self.quarantine_suspects();
    }

    /// Records that a run has responded: what broke there before was no crash.
    pub fn run_responded(&mut self, now: MonoTime, runner: &RunnerKey) {
        let broke_at = self.unconfirmed.get(runner);
        if broke_at.is_some_and(|at| now.since(*at) > REPORT_TIME) {
            self.discard_breaks(runner);
        }
    }

    /// Records that a run left as planned: what broke there says nothing.
    pub fn run_left(&mut self, runner: &RunnerKey) {
        self.unframed.retain(|run| run.runner != *runner);
        self.discard_breaks(runner);
    }

    fn discard_breaks(&mut self, runner: &RunnerKey) {
        if self.unconfirmed.remove(runner).is_some() {
            self.retain_breaks(|broken| broken.confirmed || broken.runner != *runner);
        }
    }

    /// Discards breaks whose runs have not ended, and counts unframed responses as
    /// complete whose runs have not ended.
    pub fn tick(&mut self, now: MonoTime) {
        let is_due = |run: &mut PartRun| now.since(run.ended_at) >= UNFRAMED_TIME;
        for run in self.unframed.extract_if(.., is_due).collect::<Vec<_>>() {
            self.completed(&run.parts);
        }
        let before = self.unconfirmed.len();
        self.unconfirmed.retain(|_, at| now.since(*at) < CONFIRM_TIME);
        if self.unconfirmed.len() < before {
            self.retain_breaks(|broken| broken.confirmed || now.since(broken.at) < CONFIRM_TIME);
        }
    }

    /// Returns true if a request with this part was answered completely since the last
    /// one that broke.
    #[must_use]
    pub fn is_sound(&self, part: PromptPart) -> bool {
        self.sound.contains(&part)
    }

    /// Returns the quarantined parts, with the runs that ended under them.
    pub fn quarantined(&self) -> impl Iterator<Item = (PromptPart, &[RunnerKey])> {
        self.quarantined.iter().map(|(part, runs)| (*part, &runs[..]))
    }

    /// Returns the parts whose state may have changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<PromptPart> {
        std::mem::take(&mut self.changed)
    }
}

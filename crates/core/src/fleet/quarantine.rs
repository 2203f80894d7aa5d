//! Quarantine of what crashes runners.
//!
//! Protects against requests that end every runner that responds to them: because of a
//! part of their prompt, whatever else they hold, or as a whole, whenever their callers
//! repeat them. That a response broke is a fact about a runner and a request; this is the
//! request's side of it.
//!
//! - A break counts against the suspects of the request, but at most once for requests
//!   that were in progress at the same time: runners that fail together have a common
//!   cause. A part with a complete response since its last break is left out as long
//!   as another one of the request has none.
//! - A complete response clears its suspects.
//! - From two breaks on, requests with the suspect are tried one at a time, and while
//!   the upstream has another runner. Requests that are suspects as a whole are tried one
//!   at a time at each upstream, so that none is near the crash of another one.
//! - A break becomes a crash once the store shows that its run has ended, and none if the
//!   run goes on responding. A refused connection shows nothing: it may be the host that is
//!   cut off. As many crashes as [`CrashLimits`] allows quarantine a suspect. Those don't
//!   count that another request of the run explains better.

mod candidates;
mod evidence;
mod limits;
mod recent;
mod records;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{outcome::NotRunReason, time::MonoTime};

use super::{RunnerKey, Suspect, SuspectList};

pub use self::records::{RecordSource, SuspectRecord};

use self::{candidates::Candidates, evidence::Evidence, limits::CrashLimits, recent::RecentSet};

/// Number of breaks from which on requests with a suspect are tried one at a time.
const TRIAL_BREAKS: usize = 2;

/// Time within which a run whose response broke is known to have ended: its entry is
/// removed from the store after three missed heartbeats.
const CONFIRM_TIME: Duration = Duration::from_secs(6);

/// Maximum time between the ends of all connections of a run that crashed.
const CRASH_SPREAD: Duration = Duration::from_millis(100);

/// Time after a break from which on a response of the same run shows that it has not
/// ended: longer than hosts take to report what happened before.
const REPORT_TIME: Duration = Duration::from_millis(300);

/// Time from the first token of a response within which the request crashes the run, if
/// it does.
const BEGIN_TIME: Duration = Duration::from_secs(1);

/// Maximum number of parts of one prompt for which evidence is gathered, or which a complete
/// response is known to have had.
const MAX_TRACKED_PARTS: usize = 32;

/// Maximum number of suspects of each kind that are remembered.
const MAX_SUSPECTS: usize = 4_096;

/// How requests with a suspect may start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SuspectState {
    /// At any time.
    Free,
    /// One at a time.
    Trial,
    /// Not until it is known whether the runs that broke have ended, or for some seconds.
    Stopped,
    /// Never.
    Quarantined,
}

/// The end of a request with suspects at a run of a runner.
#[derive(Clone, Debug)]
pub struct SuspectRun {
    /// The run.
    pub runner: RunnerKey,
    /// What it may crash the run with.
    pub suspects: SuspectList,
    /// When the request was granted.
    pub granted_at: MonoTime,
    /// When its first token or byte was reported.
    pub begun_at: Option<MonoTime>,
    /// When its end was reported.
    pub ended_at: MonoTime,
}

impl SuspectRun {
    /// Returns true if the response went on for too long to have crashed the run: a
    /// request does so as it begins.
    fn outlived_begin(&self) -> bool {
        self.begun_at.is_some_and(|at| self.ended_at.since(at) >= BEGIN_TIME)
    }
}

/// Decides which requests may reach runners.
///
/// # Examples
///
/// ```
/// use comfreyway_core::{
///     fleet::{PromptPart, Quarantine, RunnerKey, Suspect, SuspectRun, SuspectState},
///     time::MonoTime,
/// };
///
/// let mut quarantine = Quarantine::default();
/// let suspect = Suspect::Part(PromptPart(0xbad));
/// for second in 0..5 {
///     let runner = RunnerKey { name: format!("r{second}").parse().unwrap(), started_ms: None };
///     let (granted_at, ended_at) =
///         (MonoTime::from_millis(second * 1_000 + 1), MonoTime::from_millis(second * 1_000 + 90));
///     let (suspects, begun_at) = ([suspect].into(), None);
///     let run = SuspectRun { runner, suspects, granted_at, begun_at, ended_at };
///     quarantine.broke(&run);
///     quarantine.run_ended(&run.runner);
/// }
/// quarantine.decide();
/// assert_eq!(quarantine.state(suspect), SuspectState::Quarantined);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Time of the last tick.
    now: MonoTime,
    evidence: BTreeMap<Suspect, Evidence>,
    /// Parts of long prompts for which no evidence is gathered yet.
    candidates: Candidates,
    /// Quarantined suspects, with the runs that ended under them.
    quarantined: BTreeMap<Suspect, Vec<RunnerKey>>,
    /// Suspects that operators allowed again.
    allowed: BTreeSet<Suspect>,
    /// Suspects with a complete response since their last break.
    sound: RecentSet<Suspect>,
    /// Suspects that have had a complete response.
    proven: RecentSet<Suspect>,
    /// Runs whose breaks no longer count against a suspect, if other hosts may know them.
    cleared: BTreeMap<Suspect, BTreeSet<RunnerKey>>,
    /// Responses that only the end of their connections ended.
    unframed: Vec<SuspectRun>,
    /// Runs with breaks that may become crashes, and the last of them.
    unconfirmed: BTreeMap<RunnerKey, MonoTime>,
    /// Runs that broke a moment ago.
    recent_breaks: Vec<(RunnerKey, MonoTime)>,
    /// Runs with breaks that have ended.
    ended: RecentSet<RunnerKey>,
    /// Suspects whose state may have changed since it was last taken.
    changed: BTreeSet<Suspect>,
}

impl Quarantine {
    /// Returns how requests with this suspect may start.
    #[must_use]
    pub fn state(&self, suspect: Suspect) -> SuspectState {
        if self.quarantined.contains_key(&suspect) {
            return SuspectState::Quarantined;
        }
        let Some(evidence) = self.evidence.get(&suspect) else { return SuspectState::Free };
        let max_crashes = self.max_crashes(suspect);
        // An outage of the store must not stop a sound request that is sent all the time.
        let is_recent = self.now.since(evidence.last_break()) < CONFIRM_TIME;
        if evidence.breaks.len() >= max_crashes
            && is_recent
            && self.unexplained(suspect, evidence).count() >= max_crashes
        {
            return SuspectState::Stopped;
        }
        // Repeats of a request may crash several runs before the first break is known.
        let breaks = match suspect {
            Suspect::Part(_) => evidence.breaks.len(),
            Suspect::Request(_) => evidence.runs.len(),
        };
        if breaks < TRIAL_BREAKS { SuspectState::Free } else { SuspectState::Trial }
    }

    /// Returns how a request with these suspects may start.
    #[must_use]
    pub fn state_of(&self, suspects: &SuspectList) -> SuspectState {
        if !suspects.found_in(&self.quarantined).is_empty() {
            return SuspectState::Quarantined;
        }
        let states = suspects.found_in(&self.evidence).into_iter().map(|s| self.state(s));
        states.max().unwrap_or(SuspectState::Free)
    }

    /// Returns when a response to a request with one of these suspects broke last, of
    /// those that count.
    #[must_use]
    pub fn last_break(&self, suspects: &SuspectList) -> MonoTime {
        let suspects = suspects.found_in(&self.evidence);
        let evidence = suspects.iter().filter_map(|suspect| self.evidence.get(suspect));
        evidence.map(Evidence::last_break).max().unwrap_or(MonoTime::ZERO)
    }

    /// Returns why a request with these suspects is refused, if one is quarantined.
    #[must_use]
    pub fn refusal(&self, suspects: &SuspectList) -> Option<NotRunReason> {
        let quarantined = suspects.found_in(&self.quarantined);
        let reasons = quarantined.into_iter().map(|suspect| match suspect {
            Suspect::Part(_) => NotRunReason::PromptQuarantined,
            Suspect::Request(_) => NotRunReason::RequestQuarantined,
        });
        reasons.min()
    }

    /// Records that a response broke.
    pub fn broke(&mut self, run: &SuspectRun) {
        let at = run.ended_at;
        let same = |other: &mut SuspectRun| {
            other.runner == run.runner && at.since(other.ended_at) <= CRASH_SPREAD
        };
        for unframed in self.unframed.extract_if(.., same).collect::<Vec<_>>() {
            self.count_break(&unframed);
        }
        self.count_break(run);
    }

    /// Records a complete response.
    pub fn completed(&mut self, suspects: &SuspectList) {
        for (suspect, position) in suspects.iter() {
            let is_part = matches!(suspect, Suspect::Part(_));
            // Parts far back in a long prompt are hardly shared, and many.
            if self.clear(suspect) || !is_part || position < MAX_TRACKED_PARTS {
                self.sound.insert(suspect);
                self.proven.insert(suspect);
            }
        }
    }

    /// Records a response that only the end of its connection ended.
    pub fn completed_unframed(&mut self, run: SuspectRun) {
        if self.unframed.len() < MAX_SUSPECTS {
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
    pub fn run_ended(&mut self, runner: &RunnerKey) {
        let same = |other: &mut SuspectRun| other.runner == *runner;
        for unframed in self.unframed.extract_if(.., same).collect::<Vec<_>>() {
            self.count_break(&unframed);
        }
        if self.unconfirmed.remove(runner).is_some() {
            self.ended.insert(runner.clone());
        }
        for (suspect, evidence) in &mut self.evidence {
            if evidence.confirm(runner) {
                self.changed.insert(*suspect);
            }
        }
    }

    /// Quarantines the suspects with enough crashes, the most suspicious first. Only for
    /// the host that coordinates: others know breaks without the requests around them.
    pub fn decide(&mut self) {
        self.quarantine_suspects();
    }

    /// Records that a run has responded: what broke there before was no crash, and what
    /// only the end of its connection ended is complete.
    pub fn run_responded(&mut self, now: MonoTime, runner: &RunnerKey) {
        let is_complete =
            |run: &mut SuspectRun| run.runner == *runner && now.since(run.ended_at) > REPORT_TIME;
        for run in self.unframed.extract_if(.., is_complete).collect::<Vec<_>>() {
            self.completed(&run.suspects);
        }
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
            self.candidates.retain_runs(|noted| noted != runner);
        }
    }

    /// Discards breaks whose runs have not ended, and counts unframed responses as
    /// complete whose runs have not ended. The view of the store was the newest at
    /// `verified_at`.
    pub fn tick(&mut self, now: MonoTime, verified_at: MonoTime) {
        self.now = now;
        let may_end = |at: MonoTime| verified_at.since(at) < CONFIRM_TIME;
        let is_due = |run: &mut SuspectRun| !may_end(run.ended_at);
        for run in self.unframed.extract_if(.., is_due).collect::<Vec<_>>() {
            self.completed(&run.suspects);
        }
        let before = self.unconfirmed.len();
        self.unconfirmed.retain(|_, at| may_end(*at));
        if self.unconfirmed.len() < before {
            self.retain_breaks(|broken| broken.confirmed || may_end(broken.at));
            let (unconfirmed, ended) = (&self.unconfirmed, &self.ended);
            self.candidates
                .retain_runs(|noted| unconfirmed.contains_key(noted) || ended.contains(noted));
        }
    }

    /// Returns the quarantined suspects, with the runs that ended under them.
    pub fn quarantined(&self) -> impl Iterator<Item = (Suspect, &[RunnerKey])> {
        self.quarantined.iter().map(|(suspect, runs)| (*suspect, &runs[..]))
    }

    /// Returns the suspects whose state may have changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<Suspect> {
        std::mem::take(&mut self.changed)
    }
}

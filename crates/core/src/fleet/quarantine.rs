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

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::time::MonoTime;

use super::{PromptPart, RunnerKey};

use self::evidence::{Break, Suspect};

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

/// What a host knows of one part, for other hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartRecord {
    /// The part.
    #[serde(rename = "p")]
    pub part: PromptPart,
    /// Runs that broke under it, and whether they are known to have ended.
    #[serde(rename = "b")]
    pub breaks: Vec<(RunnerKey, bool)>,
    /// True if no request with it may be sent.
    #[serde(rename = "q")]
    pub quarantined: bool,
    /// True if requests with it have had complete responses.
    #[serde(rename = "s", default)]
    pub proven: bool,
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

/// Who sent a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordSource {
    /// This host's coordinator: its records replace what is known.
    Coordinator,
    /// A client host: of its records those count that say more than what is known.
    Client,
    /// The store: as for a client host, but an empty record clears the part.
    Store,
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
    /// Until when the last break may become a crash.
    unconfirmed_until: MonoTime,
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
    pub fn has_unconfirmed(&self, now: MonoTime) -> bool {
        !self.unframed.is_empty() || now <= self.unconfirmed_until
    }

    /// Records that a run has ended without having left as planned.
    pub fn run_ended(&mut self, now: MonoTime, runner: &RunnerKey) {
        let same = |other: &mut PartRun| other.runner == *runner;
        for unframed in self.unframed.extract_if(.., same).collect::<Vec<_>>() {
            self.count_break(&unframed);
        }
        for (part, suspect) in &mut self.suspects {
            if suspect.confirm(now, runner) {
                self.changed.insert(*part);
            }
        }
        self.quarantine_suspects();
    }

    /// Records that a run has responded: what broke there before was no crash.
    pub fn run_responded(&mut self, now: MonoTime, runner: &RunnerKey) {
        self.retain_breaks(|broken| {
            let is_crash = broken.confirmed || now.since(broken.at) <= REPORT_TIME;
            is_crash || broken.runner != *runner
        });
    }

    /// Records that a run left as planned: what broke there says nothing.
    pub fn run_left(&mut self, runner: &RunnerKey) {
        self.unframed.retain(|run| run.runner != *runner);
        self.retain_breaks(|broken| broken.confirmed || broken.runner != *runner);
    }

    /// Discards breaks whose runs have not ended, and counts unframed responses as
    /// complete whose runs have not ended.
    pub fn tick(&mut self, now: MonoTime) {
        let is_due = |run: &mut PartRun| now.since(run.ended_at) >= UNFRAMED_TIME;
        for run in self.unframed.extract_if(.., is_due).collect::<Vec<_>>() {
            self.completed(&run.parts);
        }
        self.retain_breaks(|broken| broken.confirmed || now.since(broken.at) < CONFIRM_TIME);
    }

    /// Adds what another host knows of a part.
    pub fn learn(&mut self, now: MonoTime, record: &PartRecord, source: RecordSource) {
        let part = record.part;
        if record.proven && self.proven.len() < MAX_PARTS {
            self.proven.insert(part);
        }
        if record.quarantined {
            let is_outdated = source != RecordSource::Coordinator && self.allowed.contains(&part);
            if !is_outdated && self.quarantined.len() < MAX_PARTS {
                self.allowed.remove(&part);
                let runs = record.breaks.iter().map(|(runner, _)| runner.clone()).collect();
                self.insert_quarantined(part, runs);
            }
            return;
        }
        let known = self.suspects.get(&part).map_or(0, |suspect| suspect.breaks.len());
        // The sum of two records would leave out what cleared the part between them.
        let is_cleared = source == RecordSource::Store && record.breaks.is_empty();
        let is_kept = source != RecordSource::Coordinator
            && (self.sound.contains(&part) || known >= record.breaks.len());
        let is_kept = is_kept && !(is_cleared && known > 0);
        if is_kept || self.quarantined.contains_key(&part) {
            return;
        }
        self.suspects.remove(&part);
        if !record.breaks.is_empty() {
            self.suspect(part, 0).set_breaks(now, &record.breaks);
        }
        self.changed.insert(part);
    }

    /// Quarantines a part that was quarantined by another host.
    pub fn set_quarantined(&mut self, part: PromptPart, runs: Vec<RunnerKey>) {
        self.allowed.remove(&part);
        self.insert_quarantined(part, runs);
    }

    /// Allows a part again, as the operators decided.
    pub fn allow(&mut self, part: PromptPart) {
        if self.allowed.len() < MAX_PARTS {
            self.allowed.insert(part);
        }
        self.suspects.remove(&part);
        self.quarantined.remove(&part);
        self.changed.insert(part);
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

    /// Returns what other hosts need to know of a part.
    #[must_use]
    pub fn record(&self, part: PromptPart) -> PartRecord {
        let suspect = self.suspects.get(&part);
        let breaks = suspect.map(|suspect| suspect.breaks.iter().map(Break::to_pair).collect());
        let runs = self.quarantined.get(&part);
        let ended = runs.map(|runs| runs.iter().map(|runner| (runner.clone(), true)).collect());
        PartRecord {
            part,
            breaks: ended.or(breaks).unwrap_or_default(),
            quarantined: runs.is_some(),
            proven: self.proven.contains(&part),
        }
    }

    /// Returns the parts that other hosts need to know of.
    pub fn known_parts(&self) -> impl Iterator<Item = PromptPart> {
        let is_shared = |part: &PromptPart| self.state(*part) != PartState::Free;
        let suspects = self.suspects.keys().copied().filter(is_shared);
        suspects.chain(self.quarantined.keys().copied())
    }

    /// Returns the parts whose state may have changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<PromptPart> {
        std::mem::take(&mut self.changed)
    }
}

//! The breaks that count against a suspect.

use std::collections::{BTreeSet, btree_map::Entry};

use crate::{
    fleet::{RunnerKey, Suspect},
    time::MonoTime,
};

use super::{MAX_SUSPECTS, PROVEN_QUARANTINE_CRASHES, QUARANTINE_CRASHES, Quarantine, SuspectRun};

/// Maximum number of runs that are remembered of one suspect.
pub(super) const MAX_RUNS: usize = 16;

/// A run at which a response broke.
#[derive(Clone, Debug)]
pub(super) struct Break {
    pub(super) runner: RunnerKey,
    pub(super) at: MonoTime,
    /// True if the run is known to have ended.
    pub(super) confirmed: bool,
    /// Suspects of the request; none if another host reported it.
    pub(super) suspects: Vec<Suspect>,
}

impl Break {
    pub(super) fn to_pair(&self) -> (RunnerKey, bool) {
        (self.runner.clone(), self.confirmed)
    }
}

/// A suspect under which responses broke.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    /// Those that count: not of requests that were in progress at the same time.
    pub(super) breaks: Vec<Break>,
    /// All runs at which requests with the suspect broke.
    runs: BTreeSet<RunnerKey>,
    /// Position in the prompt. Parts further back are shared by fewer requests.
    position: usize,
}

impl Evidence {
    /// Sets up to `max` of the breaks that another host knows of.
    pub(super) fn set_breaks(&mut self, now: MonoTime, breaks: &[(RunnerKey, bool)], max: usize) {
        self.breaks = breaks
            .iter()
            .take(max)
            .map(|(runner, confirmed)| Break {
                runner: runner.clone(),
                at: now,
                confirmed: *confirmed,
                suspects: Vec::new(),
            })
            .collect();
        self.runs = self.breaks.iter().map(|broken| broken.runner.clone()).collect();
    }

    /// Adds a break, unless the request was granted before an earlier one was known.
    fn add(&mut self, run: &SuspectRun) -> bool {
        if self.runs.len() < MAX_RUNS {
            self.runs.insert(run.runner.clone());
        }
        let known = |broken: &Break| broken.runner == run.runner || run.granted_at < broken.at;
        if self.breaks.len() >= MAX_RUNS || self.breaks.iter().any(known) {
            return false;
        }
        self.breaks.push(Break {
            runner: run.runner.clone(),
            at: run.ended_at,
            confirmed: false,
            suspects: run.suspects.clone(),
        });
        true
    }

    /// Marks a break as a crash.
    pub(super) fn confirm(&mut self, runner: &RunnerKey) -> bool {
        let broken = self.breaks.iter_mut().find(|broken| broken.runner == *runner);
        broken.is_some_and(|broken| !std::mem::replace(&mut broken.confirmed, true))
    }

    fn last_break(&self) -> MonoTime {
        self.breaks.last().map_or(MonoTime::ZERO, |broken| broken.at)
    }
}

impl Quarantine {
    /// Counts a break against the suspects that may have caused it.
    pub(super) fn count_break(&mut self, run: &SuspectRun) {
        self.unconfirmed.insert(run.runner.clone(), run.ended_at);
        let all_sound = run.suspects.iter().all(|suspect| self.sound.contains(suspect));
        for (position, suspect) in run.suspects.iter().enumerate() {
            let was_sound = self.sound.remove(suspect);
            let is_settled = self.quarantined.contains_key(suspect);
            if is_settled || (was_sound && !all_sound) {
                continue;
            }
            if self.evidence_of(*suspect, position).add(run) {
                self.changed.insert(*suspect);
            }
        }
    }

    /// Returns what is known against a suspect. Forgets another suspect if there are too many.
    pub(super) fn evidence_of(&mut self, suspect: Suspect, position: usize) -> &mut Evidence {
        if self.evidence.len() >= MAX_SUSPECTS && !self.evidence.contains_key(&suspect) {
            let key = |(_, evidence): &(&Suspect, &Evidence)| {
                (evidence.breaks.len(), evidence.last_break())
            };
            if let Some(suspect) = self.evidence.iter().min_by_key(key).map(|(suspect, _)| *suspect)
            {
                self.evidence.remove(&suspect);
                self.changed.insert(suspect);
            }
        }
        let evidence = self.evidence.entry(suspect).or_default();
        evidence.position = evidence.position.max(position);
        evidence
    }

    /// Discards the breaks for which `keep` returns false.
    pub(super) fn retain_breaks<F>(&mut self, keep: F)
    where
        F: Fn(&Break) -> bool,
    {
        for (suspect, evidence) in &mut self.evidence {
            for broken in evidence.breaks.extract_if(.., |broken| !keep(broken)) {
                evidence.runs.remove(&broken.runner);
                self.changed.insert(*suspect);
            }
        }
        self.evidence.retain(|_, evidence| !evidence.breaks.is_empty());
    }

    /// Returns the number of crashes that quarantine a suspect.
    pub(super) fn max_crashes(&self, suspect: Suspect) -> usize {
        match self.proven.contains(&suspect) {
            true => PROVEN_QUARANTINE_CRASHES,
            false => QUARANTINE_CRASHES,
        }
    }

    /// Returns the number of crashes that count against a suspect.
    fn crashes(&self, suspect: Suspect, evidence: &Evidence) -> usize {
        self.unexplained(suspect, evidence).filter(|broken| broken.confirmed).count()
    }

    /// Returns the breaks that count against a suspect, or will once their runs have ended.
    pub(super) fn unexplained<'a>(
        &'a self,
        suspect: Suspect,
        evidence: &'a Evidence,
    ) -> impl Iterator<Item = &'a Break> {
        let breaks = evidence.breaks.iter();
        breaks.filter(move |broken| !self.is_explained(suspect, evidence, broken))
    }

    /// Returns true if another request at the run had a suspect under which more runs
    /// broke.
    fn is_explained(&self, suspect: Suspect, evidence: &Evidence, broken: &Break) -> bool {
        let (runner, runs) = (&broken.runner, evidence.runs.len());
        let is_other = |other: &Suspect| *other != suspect && !broken.suspects.contains(other);
        let all = self.evidence.iter().map(|(suspect, s)| (suspect, s.runs.len(), &s.runs));
        let mut more = all.filter(|(other, count, _)| {
            !broken.suspects.is_empty() && is_other(other) && *count > runs
        });
        more.any(|(.., runs)| runs.contains(runner))
            || self.quarantined.iter().any(|(p, runs)| is_other(p) && runs.contains(runner))
    }

    /// Quarantines the suspects with enough crashes, the most suspicious first.
    pub(super) fn quarantine_suspects(&mut self) {
        loop {
            let all = self.evidence.iter();
            let all = all.filter(|(_, s)| s.breaks.len() >= QUARANTINE_CRASHES);
            let crashes =
                all.map(|(suspect, evidence)| (self.crashes(*suspect, evidence), *suspect));
            let over_limit =
                crashes.filter(|(crashes, suspect)| *crashes >= self.max_crashes(*suspect));
            let key = |(crashes, suspect): &(usize, Suspect)| {
                let position = self.evidence.get(suspect).map_or(0, |evidence| evidence.position);
                (*crashes, !self.proven.contains(suspect), position)
            };
            let Some((_, suspect)) = over_limit.max_by_key(key) else { return };
            let Some(evidence) = self.evidence.remove(&suspect) else { return };
            self.explain(&evidence.runs);
            self.insert_quarantined(suspect, evidence.runs.into_iter().collect());
        }
    }

    pub(super) fn insert_quarantined(&mut self, suspect: Suspect, runs: Vec<RunnerKey>) {
        self.evidence.remove(&suspect);
        if let Entry::Vacant(entry) = self.quarantined.entry(suspect) {
            entry.insert(runs);
            self.changed.insert(suspect);
        }
    }

    /// Clears the suspects of which a quarantined suspect explains all breaks. One that broke
    /// as often may be the cause as well, so one more crash quarantines it.
    fn explain(&mut self, runs: &BTreeSet<RunnerKey>) {
        for (suspect, evidence) in &mut self.evidence {
            if !evidence.runs.is_subset(runs) {
                continue;
            }
            self.changed.insert(*suspect);
            let is_alike = evidence.breaks.len() >= QUARANTINE_CRASHES;
            evidence.breaks.truncate(if is_alike { QUARANTINE_CRASHES - 1 } else { 0 });
        }
        self.evidence.retain(|_, evidence| !evidence.breaks.is_empty());
    }
}

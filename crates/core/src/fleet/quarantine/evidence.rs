//! The breaks that count against a part.

use std::collections::{BTreeSet, btree_map::Entry};

use crate::{
    fleet::{PromptPart, RunnerKey},
    time::MonoTime,
};

use super::{
    CONFIRM_TIME, MAX_PARTS, PROVEN_QUARANTINE_CRASHES, PartQuarantine, PartRun, QUARANTINE_CRASHES,
};

/// Maximum number of runs that are remembered of one part.
const MAX_RUNS: usize = 16;

/// A run at which a response broke.
#[derive(Clone, Debug)]
pub(super) struct Break {
    pub(super) runner: RunnerKey,
    pub(super) at: MonoTime,
    /// True if the run is known to have ended.
    pub(super) confirmed: bool,
    /// Parts of the request; none if another host reported it.
    pub(super) parts: Vec<PromptPart>,
}

impl Break {
    pub(super) fn to_pair(&self) -> (RunnerKey, bool) {
        (self.runner.clone(), self.confirmed)
    }
}

/// A part under which responses broke.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// Those that count: not of requests that were in progress at the same time.
    pub(super) breaks: Vec<Break>,
    /// All runs at which requests with the part broke.
    runs: BTreeSet<RunnerKey>,
    /// Position in the prompt. Parts further back are shared by fewer requests.
    position: usize,
}

impl Suspect {
    /// Sets the breaks that another host knows of. They don't quarantine the part without
    /// one that is seen here.
    pub(super) fn set_breaks(&mut self, now: MonoTime, breaks: &[(RunnerKey, bool)]) {
        self.breaks = breaks
            .iter()
            .take(QUARANTINE_CRASHES - 1)
            .map(|(runner, confirmed)| Break {
                runner: runner.clone(),
                at: now,
                confirmed: *confirmed,
                parts: Vec::new(),
            })
            .collect();
        self.runs = self.breaks.iter().map(|broken| broken.runner.clone()).collect();
    }

    /// Adds a break, unless the request was granted before an earlier one was known.
    fn add(&mut self, run: &PartRun) -> bool {
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
            parts: run.parts.clone(),
        });
        true
    }

    /// Marks a recent break as a crash.
    pub(super) fn confirm(&mut self, now: MonoTime, runner: &RunnerKey) -> bool {
        let is_recent = |broken: &&mut Break| now.since(broken.at) <= CONFIRM_TIME;
        let mut breaks = self.breaks.iter_mut().filter(|broken| broken.runner == *runner);
        let broken = breaks.next().filter(is_recent);
        broken.is_some_and(|broken| !std::mem::replace(&mut broken.confirmed, true))
    }

    fn last_break(&self) -> MonoTime {
        self.breaks.last().map_or(MonoTime::ZERO, |broken| broken.at)
    }
}

impl PartQuarantine {
    /// Counts a break against the parts that may have caused it.
    pub(super) fn count_break(&mut self, run: &PartRun) {
        self.unconfirmed.insert(run.runner.clone(), run.ended_at);
        let all_sound = run.parts.iter().all(|part| self.sound.contains(part));
        for (position, part) in run.parts.iter().enumerate() {
            let was_sound = self.sound.remove(part);
            let is_settled = self.quarantined.contains_key(part);
            if is_settled || (was_sound && !all_sound) {
                continue;
            }
            if self.suspect(*part, position).add(run) {
                self.changed.insert(*part);
            }
        }
    }

    /// Returns what is known against a part. Forgets another part if there are too many.
    pub(super) fn suspect(&mut self, part: PromptPart, position: usize) -> &mut Suspect {
        if self.suspects.len() >= MAX_PARTS && !self.suspects.contains_key(&part) {
            let key = |(_, suspect): &(&PromptPart, &Suspect)| {
                (suspect.breaks.len(), suspect.last_break())
            };
            if let Some(part) = self.suspects.iter().min_by_key(key).map(|(part, _)| *part) {
                self.suspects.remove(&part);
                self.changed.insert(part);
            }
        }
        let suspect = self.suspects.entry(part).or_default();
        suspect.position = suspect.position.max(position);
        suspect
    }

    /// Discards the breaks for which `keep` returns false.
    pub(super) fn retain_breaks<F>(&mut self, keep: F)
    where
        F: Fn(&Break) -> bool,
    {
        for (part, suspect) in &mut self.suspects {
            for broken in suspect.breaks.extract_if(.., |broken| !keep(broken)) {
                suspect.runs.remove(&broken.runner);
                self.changed.insert(*part);
            }
        }
        self.suspects.retain(|_, suspect| !suspect.breaks.is_empty());
    }

    /// Returns the number of crashes that quarantine a part.
    pub(super) fn max_crashes(&self, part: PromptPart) -> usize {
        match self.proven.contains(&part) {
            true => PROVEN_QUARANTINE_CRASHES,
            false => QUARANTINE_CRASHES,
        }
    }

    /// Returns the number of crashes that count against a part.
    fn crashes(&self, part: PromptPart, suspect: &Suspect) -> usize {
        self.unexplained(part, suspect).filter(|broken| broken.confirmed).count()
    }

    /// Returns the breaks that count against a part, or will once their runs have ended.
    pub(super) fn unexplained<'a>(
        &'a self,
        part: PromptPart,
        suspect: &'a Suspect,
    ) -> impl Iterator<Item = &'a Break> {
        let breaks = suspect.breaks.iter();
        breaks.filter(move |broken| !self.is_explained(part, suspect, broken))
    }

    /// Returns true if another request at the run had a part under which more runs
    /// broke.
    fn is_explained(&self, part: PromptPart, suspect: &Suspect, broken: &Break) -> bool {
        let (runner, runs) = (&broken.runner, suspect.runs.len());
        let is_other = |other: &PromptPart| *other != part && !broken.parts.contains(other);
        let suspects = self.suspects.iter().map(|(part, s)| (part, s.runs.len(), &s.runs));
        let mut more = suspects.filter(|(other, count, _)| {
            !broken.parts.is_empty() && is_other(other) && *count > runs
        });
        more.any(|(.., runs)| runs.contains(runner))
            || self.quarantined.iter().any(|(p, runs)| is_other(p) && runs.contains(runner))
    }

    /// Quarantines the parts with enough crashes, the most suspicious first.
    pub(super) fn quarantine_suspects(&mut self) {
        loop {
            let suspects = self.suspects.iter();
            let suspects = suspects.filter(|(_, s)| s.breaks.len() >= QUARANTINE_CRASHES);
            let crashes = suspects.map(|(part, suspect)| (self.crashes(*part, suspect), *part));
            let over_limit = crashes.filter(|(crashes, part)| *crashes >= self.max_crashes(*part));
            let key = |(crashes, part): &(usize, PromptPart)| {
                let position = self.suspects.get(part).map_or(0, |suspect| suspect.position);
                (*crashes, !self.proven.contains(part), position)
            };
            let Some((_, part)) = over_limit.max_by_key(key) else { return };
            let Some(suspect) = self.suspects.remove(&part) else { return };
            self.explain(&suspect.runs);
            self.insert_quarantined(part, suspect.runs.into_iter().collect());
        }
    }

    pub(super) fn insert_quarantined(&mut self, part: PromptPart, runs: Vec<RunnerKey>) {
        self.suspects.remove(&part);
        if let Entry::Vacant(entry) = self.quarantined.entry(part) {
            entry.insert(runs);
            self.changed.insert(part);
        }
    }

    /// Clears the parts of which a quarantined part explains all breaks. One that broke
    /// as often may be the cause as well, so one more crash quarantines it.
    fn explain(&mut self, runs: &BTreeSet<RunnerKey>) {
        for (part, suspect) in &mut self.suspects {
            if !suspect.runs.is_subset(runs) {
                continue;
            }
            self.changed.insert(*part);
            let is_alike = suspect.breaks.len() >= QUARANTINE_CRASHES;
            suspect.breaks.truncate(if is_alike { QUARANTINE_CRASHES - 1 } else { 0 });
        }
        self.suspects.retain(|_, suspect| !suspect.breaks.is_empty());
    }
}

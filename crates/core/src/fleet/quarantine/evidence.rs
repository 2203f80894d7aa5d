//! The breaks that count against a suspect.

use std::{
    collections::{BTreeSet, btree_map::Entry},
    sync::Arc,
    time::Duration,
};

use crate::{
    fleet::{PromptPart, RunnerKey, Suspect, SuspectList},
    time::MonoTime,
};

use super::{
    CRASH_SPREAD, CrashLimits, MAX_SUSPECTS, MAX_TRACKED_PARTS, Quarantine, RecordSource,
    SuspectRun, SuspectState, TRIAL_BREAKS,
};

/// Maximum number of runs that are remembered of one suspect.
pub(super) const MAX_RUNS: usize = 16;

/// Time between the ends of runs that crash together. Shorter than a request takes from
/// one runner to the next and until that crashes.
const SAME_CRASH_TIME: Duration = Duration::from_millis(20);

/// A run at which a response broke.
#[derive(Clone, Debug)]
pub(super) struct Break {
    pub(super) runner: RunnerKey,
    pub(super) at: MonoTime,
    /// True if the run is known to have ended.
    pub(super) confirmed: bool,
    /// Suspects of the request; none if another host reported it.
    pub(super) suspects: SuspectList,
    /// Other runs that broke at about the same time.
    others: Vec<RunnerKey>,
    /// True if it was copied from another coordinator of this host or of a client.
    is_copied: bool,
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
    pub(super) runs: BTreeSet<RunnerKey>,
    /// Position in the prompt. Parts further back are shared by fewer requests.
    position: usize,
}

impl Evidence {
    /// Adds a break that another host knows of.
    pub(super) fn learn_break(
        &mut self,
        now: MonoTime,
        (runner, confirmed): &(RunnerKey, bool),
        source: RecordSource,
    ) {
        let confirmed = *confirmed;
        if let Some(known) = self.breaks.iter_mut().find(|broken| broken.runner == *runner) {
            known.confirmed |= confirmed;
            return;
        }
        if self.breaks.len() >= MAX_RUNS {
            return;
        }
        self.runs.insert(runner.clone());
        self.breaks.push(Break {
            runner: runner.clone(),
            at: now,
            confirmed,
            suspects: SuspectList::default(),
            others: Vec::new(),
            is_copied: source != RecordSource::Store,
        });
    }

    /// Removes the break of a run.
    pub(super) fn remove_break(&mut self, runner: &RunnerKey) {
        self.breaks.retain(|broken| broken.runner != *runner);
        self.runs.remove(runner);
    }

    /// Adds a break, unless the request was granted before an earlier one was known, or got
    /// to a run that ended with that one.
    fn add(&mut self, run: &SuspectRun, others: &[RunnerKey]) -> bool {
        if self.runs.len() < MAX_RUNS {
            self.runs.insert(run.runner.clone());
        }
        let known = |broken: &Break| {
            let is_same_crash = run.ended_at.since(broken.at) <= SAME_CRASH_TIME;
            broken.runner == run.runner || run.granted_at < broken.at || is_same_crash
        };
        if self.breaks.len() >= MAX_RUNS || self.breaks.iter().any(known) {
            return false;
        }
        self.breaks.push(Break {
            runner: run.runner.clone(),
            at: run.ended_at,
            confirmed: false,
            suspects: run.suspects.clone(),
            others: others.to_vec(),
            is_copied: false,
        });
        true
    }

    /// Marks a break as a crash.
    pub(super) fn confirm(&mut self, runner: &RunnerKey) -> bool {
        let broken = self.breaks.iter_mut().find(|broken| broken.runner == *runner);
        broken.is_some_and(|broken| !std::mem::replace(&mut broken.confirmed, true))
    }

    /// Returns true if some breaks are known from a former coordinator alone, and parts of
    /// other requests near them might explain them.
    fn lacks_context(&self) -> bool {
        let mut own = self.breaks.iter().filter(|broken| !broken.suspects.is_empty());
        let may_have_parts = own.clone().next().is_none() || own.any(|b| b.suspects.len() > 1);
        may_have_parts && self.breaks.iter().any(|broken| broken.is_copied)
    }

    pub(super) fn last_break(&self) -> MonoTime {
        self.breaks.last().map_or(MonoTime::ZERO, |broken| broken.at)
    }
}

impl Quarantine {
    /// Counts a break against the suspects that may have caused it.
    pub(super) fn count_break(&mut self, run: &SuspectRun) {
        self.unconfirmed.insert(run.runner.clone(), run.ended_at);
        let others = self.record_recent_break(run);
        let mut parts = run.suspects.parts();
        let all_sound = parts.all(|part| self.sound.contains(&Suspect::Part(part)));
        let mut suspected = Vec::new();
        for (suspect, position) in run.suspects.iter() {
            let is_part = matches!(suspect, Suspect::Part(_));
            let was_sound = self.sound.remove(&suspect);
            if let Some(runs) = self.quarantined.get_mut(&suspect) {
                // Requests that were on their way explain what they broke, too.
                if runs.len() < MAX_RUNS && !runs.contains(&run.runner) {
                    runs.push(run.runner.clone());
                }
                continue;
            }
            if is_part && was_sound && !all_sound {
                continue;
            }
            if !is_part && run.outlived_begin() {
                self.clear(suspect);
                continue;
            }
            suspected.push((suspect, position));
        }
        for (suspect, position) in self.select_suspects(run, suspected) {
            if self.evidence_of(suspect, position).add(run, &others) {
                self.changed.insert(suspect);
            }
        }
    }

    /// Returns the suspects of a break for which evidence is gathered. All parts of a long
    /// prompt are noted. Those that were in several that broke follow, the ones in most of them
    /// first, as long as few parts of this prompt were in as many.
    fn select_suspects(
        &mut self,
        run: &SuspectRun,
        mut suspected: Vec<(Suspect, usize)>,
    ) -> Vec<(Suspect, usize)> {
        let is_long = run.suspects.parts().len() > MAX_TRACKED_PARTS;
        let noted = Arc::new(run.clone());
        // Numbers of runs of the parts with evidence, and the other repeated parts.
        let (mut tracked, mut repeated) = (Vec::new(), Vec::new());
        suspected.retain(|(suspect, position)| {
            let Suspect::Part(part) = *suspect else { return true };
            if !is_long {
                return true;
            }
            if let Some(evidence) = self.evidence.get(suspect) {
                let is_known = evidence.runs.contains(&run.runner);
                tracked.push(evidence.runs.len() + usize::from(!is_known));
                return true;
            }
            let runs = self.candidates.note(part, &noted);
            if runs >= TRIAL_BREAKS {
                repeated.push((runs, *position, part));
            }
            false
        });
        repeated.sort_unstable_by(|one, other| other.cmp(one));
        for (runs, position, part) in repeated {
            if tracked.iter().filter(|known| **known >= runs).count() >= MAX_TRACKED_PARTS {
                break;
            }
            tracked.push(runs);
            suspected.push((Suspect::Part(part), position));
        }
        for (suspect, position) in &suspected {
            if let Suspect::Part(part) = *suspect {
                self.promote_candidate(part, *position);
            }
        }
        suspected
    }

    /// Turns what was noted of a part into evidence, if its runs may have crashed.
    fn promote_candidate(&mut self, part: PromptPart, position: usize) {
        let suspect = Suspect::Part(part);
        for run in self.candidates.take(part) {
            let has_ended = self.ended.contains(&run.runner);
            if !has_ended && !self.unconfirmed.contains_key(&run.runner) {
                continue;
            }
            let evidence = self.evidence_of(suspect, position);
            if evidence.add(&run, &[]) {
                if has_ended {
                    evidence.confirm(&run.runner);
                }
                self.changed.insert(suspect);
            }
        }
    }

    /// Clears a suspect of all that is known against it. Returns true if anything was.
    pub(super) fn clear(&mut self, suspect: Suspect) -> bool {
        let was_noted = match suspect {
            Suspect::Part(part) => !self.candidates.take(part).is_empty(),
            Suspect::Request(_) => false,
        };
        let is_shared = self.state(suspect) != SuspectState::Free;
        let Some(evidence) = self.evidence.remove(&suspect) else { return was_noted };
        self.changed.insert(suspect);
        if is_shared {
            self.add_cleared(suspect, evidence.runs);
        }
        true
    }

    /// Returns the other runs that broke a moment ago, and adds this one to their breaks.
    fn record_recent_break(&mut self, run: &SuspectRun) -> Vec<RunnerKey> {
        let is_recent = |at: MonoTime| run.ended_at.since(at) <= CRASH_SPREAD;
        self.recent_breaks.retain(|(_, at)| is_recent(*at));
        let others = self.recent_breaks.iter().filter(|(runner, _)| *runner != run.runner);
        let others: Vec<_> = others.map(|(runner, _)| runner.clone()).take(MAX_RUNS).collect();
        if others.len() == self.recent_breaks.len() {
            self.recent_breaks.push((run.runner.clone(), run.ended_at));
            let breaks = self.evidence.values_mut().flat_map(|evidence| &mut evidence.breaks);
            for broken in breaks.filter(|broken| is_recent(broken.at)) {
                broken.others.push(run.runner.clone());
            }
        }
        others
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
        let limits = CrashLimits::of(suspect);
        let is_request = matches!(suspect, Suspect::Request(_));
        let evidence = self.evidence.get(&suspect).filter(|_| is_request);
        match evidence.is_some_and(Evidence::lacks_context) || self.proven.contains(&suspect) {
            true => limits.proven,
            false => limits.unproven,
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
    /// broke. Few crashes condemn a whole request, so as many runs are enough for it, or
    /// another run that ended at the same time without the request.
    fn is_explained(&self, suspect: Suspect, evidence: &Evidence, broken: &Break) -> bool {
        let (runner, runs) = (&broken.runner, evidence.runs.len());
        let is_part = matches!(suspect, Suspect::Part(_));
        let min_runs = runs + usize::from(is_part);
        let mut others = broken.others.iter().filter(|other| !evidence.runs.contains(other));
        if !is_part
            && others.any(|other| self.ended.contains(other) && !self.has_cause(other, runs))
        {
            return true;
        }
        let is_other = |other: &Suspect| *other != suspect && !broken.suspects.contains(*other);
        let all = self.evidence.iter().map(|(suspect, s)| (suspect, s.runs.len(), &s.runs));
        let mut more = all.filter(|(other, count, _)| is_other(other) && *count >= min_runs);
        more.any(|(.., runs)| runs.contains(runner))
            || self.quarantined.iter().any(|(p, runs)| is_other(p) && runs.contains(runner))
    }

    /// Returns true if a suspect that was near at least this many broken runs was near
    /// this one.
    fn has_cause(&self, runner: &RunnerKey, min_runs: usize) -> bool {
        let mut repeated =
            self.evidence.values().filter(|evidence| evidence.runs.len() >= min_runs);
        repeated.any(|evidence| evidence.runs.contains(runner))
            || self.quarantined.values().any(|runs| runs.contains(runner))
    }

    /// Quarantines the suspects with enough crashes, the most suspicious first.
    pub(super) fn quarantine_suspects(&mut self) {
        loop {
            let all = self.evidence.iter();
            let all = all.filter(|(suspect, evidence)| {
                evidence.breaks.len() >= CrashLimits::of(**suspect).unproven
            });
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
            self.explain(suspect, &evidence.runs);
            self.insert_quarantined(suspect, evidence.runs.into_iter().collect());
        }
    }

    pub(super) fn insert_quarantined(&mut self, suspect: Suspect, runs: Vec<RunnerKey>) {
        self.evidence.remove(&suspect);
        if let Suspect::Part(part) = suspect {
            self.candidates.take(part);
        }
        if let Entry::Vacant(entry) = self.quarantined.entry(suspect) {
            entry.insert(runs);
            self.changed.insert(suspect);
        }
    }

    /// Clears the suspects of which a quarantined suspect explains all breaks. One that broke
    /// as often may be the cause as well, so one more crash quarantines it. A request doesn't
    /// explain the breaks of its own parts.
    fn explain(&mut self, cause: Suspect, runs: &BTreeSet<RunnerKey>) {
        let is_request = matches!(cause, Suspect::Request(_));
        for (suspect, evidence) in &mut self.evidence {
            let mut breaks = evidence.breaks.iter();
            let is_own = is_request && breaks.any(|broken| broken.suspects.contains(cause));
            if is_own || !evidence.runs.is_subset(runs) {
                continue;
            }
            self.changed.insert(*suspect);
            let max = CrashLimits::of(*suspect).unproven;
            let is_alike = evidence.breaks.len() >= max;
            evidence.breaks.truncate(if is_alike { max - 1 } else { 0 });
        }
        self.evidence.retain(|_, evidence| !evidence.breaks.is_empty());
        self.candidates.explain(cause, runs);
    }
}

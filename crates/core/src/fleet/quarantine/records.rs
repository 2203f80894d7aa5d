//! What hosts tell each other of suspects.

use serde::{Deserialize, Serialize};

use crate::{
    fleet::{RunnerKey, Suspect},
    time::MonoTime,
};

use super::{
    MAX_SUSPECTS, Quarantine, SuspectState,
    evidence::{Break, MAX_RUNS},
};

/// What a host knows of one suspect, for other hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectRecord {
    /// The suspect.
    #[serde(rename = "p")]
    pub suspect: Suspect,
    /// Runs that broke under it, and whether they are known to have ended.
    #[serde(rename = "b")]
    pub breaks: Vec<(RunnerKey, bool)>,
    /// True if no request with it may be sent.
    #[serde(rename = "q")]
    pub quarantined: bool,
    /// True if requests with it have had complete responses.
    #[serde(rename = "s", default)]
    pub proven: bool,
    /// Runs that broke under it before requests with it had complete responses.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub cleared: Vec<RunnerKey>,
}

impl SuspectRecord {
    /// Returns true if a host that knows `stored` learns something from this record.
    #[must_use]
    pub fn adds_to(&self, stored: Option<&Self>) -> bool {
        let Some(stored) = stored else {
            return self.quarantined || !self.breaks.is_empty();
        };
        let is_cleared = |runner: &RunnerKey| stored.cleared.contains(runner);
        let is_known = |(runner, confirmed): &(RunnerKey, bool)| {
            let mut known = stored.breaks.iter();
            known.any(|(other, known)| other == runner && (*known || !confirmed))
        };
        let mut news = self.breaks.iter().filter(|(runner, _)| !is_cleared(runner));
        (self.quarantined && !stored.quarantined)
            || (self.proven && !stored.proven)
            || news.any(|broken| !is_known(broken))
            || self.cleared.iter().any(|runner| !is_cleared(runner))
    }
}

/// Who sent a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordSource {
    /// This host's coordinator: its records replace what is known.
    Coordinator,
    /// A client host, whose records are added to what is known.
    Client,
    /// The store, as for a client host.
    Store,
}

impl Quarantine {
    /// Adds what another host knows of a suspect.
    pub fn learn(&mut self, now: MonoTime, record: &SuspectRecord, source: RecordSource) {
        let suspect = record.suspect;
        if record.proven {
            self.proven.insert(suspect);
        }
        if record.quarantined {
            let is_outdated =
                source != RecordSource::Coordinator && self.allowed.contains(&suspect);
            if !is_outdated && self.quarantined.len() < MAX_SUSPECTS {
                self.allowed.remove(&suspect);
                let runs = record.breaks.iter().map(|(runner, _)| runner.clone()).collect();
                self.insert_quarantined(suspect, runs);
            }
            return;
        }
        if self.quarantined.contains_key(&suspect) {
            return;
        }
        if source == RecordSource::Coordinator {
            self.evidence.remove(&suspect);
            self.cleared.remove(&suspect);
        }
        self.add_cleared(suspect, record.cleared.iter().cloned());
        let cleared = self.cleared.get(&suspect).cloned().unwrap_or_default();
        if let Some(evidence) = self.evidence.get_mut(&suspect) {
            cleared.iter().for_each(|runner| evidence.remove_break(runner));
        }
        for broken in &record.breaks {
            let (runner, confirmed) = broken;
            if cleared.contains(runner) {
                continue;
            }
            self.evidence_of(suspect, 0).learn_break(now, broken, source);
            if !confirmed {
                self.unconfirmed.entry(runner.clone()).or_insert(now);
            }
        }
        self.evidence.retain(|_, evidence| !evidence.breaks.is_empty());
        self.changed.insert(suspect);
    }

    /// Remembers runs whose breaks no longer count against a suspect.
    pub(super) fn add_cleared<I>(&mut self, suspect: Suspect, runs: I)
    where
        I: IntoIterator<Item = RunnerKey>,
    {
        let mut runs = runs.into_iter().peekable();
        if runs.peek().is_none() {
            return;
        }
        if self.cleared.len() >= MAX_SUSPECTS && !self.cleared.contains_key(&suspect) {
            self.cleared.pop_first();
        }
        let known = self.cleared.entry(suspect).or_default();
        for runner in runs {
            if known.len() < MAX_RUNS {
                known.insert(runner);
            }
        }
    }

    /// Quarantines a suspect that was quarantined by another host.
    pub fn set_quarantined(&mut self, suspect: Suspect, runs: Vec<RunnerKey>) {
        self.allowed.remove(&suspect);
        if self.quarantined.len() < MAX_SUSPECTS {
            self.insert_quarantined(suspect, runs);
        }
    }

    /// Allows a suspect again, as the operators decided.
    pub fn allow(&mut self, suspect: Suspect) {
        if self.allowed.len() < MAX_SUSPECTS {
            self.allowed.insert(suspect);
        }
        if let Suspect::Part(part) = suspect {
            self.candidates.take(part);
        }
        self.evidence.remove(&suspect);
        self.quarantined.remove(&suspect);
        self.changed.insert(suspect);
    }

    /// Returns what other hosts need to know of a suspect.
    #[must_use]
    pub fn record(&self, suspect: Suspect) -> SuspectRecord {
        let evidence = self.evidence.get(&suspect);
        let breaks = evidence.map(|evidence| evidence.breaks.iter().map(Break::to_pair).collect());
        let runs = self.quarantined.get(&suspect);
        let ended = runs.map(|runs| runs.iter().map(|runner| (runner.clone(), true)).collect());
        SuspectRecord {
            suspect,
            breaks: ended.or(breaks).unwrap_or_default(),
            quarantined: runs.is_some(),
            proven: self.proven.contains(&suspect),
            cleared: self.cleared.get(&suspect).into_iter().flatten().cloned().collect(),
        }
    }

    /// Returns the suspects that other hosts need to know of.
    pub fn known_suspects(&self) -> impl Iterator<Item = Suspect> {
        let is_shared = |suspect: &Suspect| self.state(*suspect) != SuspectState::Free;
        let suspected = self.evidence.keys().copied().filter(is_shared);
        suspected.chain(self.quarantined.keys().copied())
    }
}

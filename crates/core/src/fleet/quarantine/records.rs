//! What hosts tell each other of suspects.

use serde::{Deserialize, Serialize};

use crate::{
    fleet::{RunnerKey, Suspect},
    time::MonoTime,
};

use super::{
    CrashLimits, MAX_SUSPECTS, Quarantine, SuspectState,
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
}

/// Who sent a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordSource {
    /// This host's coordinator: its records replace what is known.
    Coordinator,
    /// A client host: of its records those count that say more than what is known.
    Client,
    /// The store: as for a client host, but an empty record clears the suspect.
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
        let known = self.evidence.get(&suspect).map_or(0, |evidence| evidence.breaks.len());
        let is_news = match source {
            RecordSource::Coordinator => true,
            RecordSource::Store if record.breaks.is_empty() => known > 0,
            // The sum of two records would leave out what cleared the suspect between them.
            _ => !self.sound.contains(&suspect) && record.breaks.len() > known,
        };
        if !is_news || self.quarantined.contains_key(&suspect) {
            return;
        }
        self.evidence.remove(&suspect);
        if !record.breaks.is_empty() {
            let max = match source {
                RecordSource::Store => CrashLimits::of(suspect).unproven - 1,
                RecordSource::Client | RecordSource::Coordinator => MAX_RUNS,
            };
            self.evidence_of(suspect, 0).set_breaks(now, &record.breaks, max);
        }
        for (runner, _) in record.breaks.iter().filter(|(_, confirmed)| !confirmed) {
            self.unconfirmed.entry(runner.clone()).or_insert(now);
        }
        self.changed.insert(suspect);
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
        }
    }

    /// Returns the suspects that other hosts need to know of.
    pub fn known_suspects(&self) -> impl Iterator<Item = Suspect> {
        let is_shared = |suspect: &Suspect| self.state(*suspect) != SuspectState::Free;
        let suspected = self.evidence.keys().copied().filter(is_shared);
        suspected.chain(self.quarantined.keys().copied())
    }
}

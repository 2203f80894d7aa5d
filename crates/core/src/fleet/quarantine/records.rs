//! What hosts tell each other of prompt parts.

use serde::{Deserialize, Serialize};

use crate::{
    fleet::{PromptPart, RunnerKey},
    time::MonoTime,
};

use super::{MAX_PARTS, PartQuarantine, PartState, evidence::Break};

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

impl PartQuarantine {
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
        let is_news = match source {
            RecordSource::Coordinator => true,
            RecordSource::Store if record.breaks.is_empty() => known > 0,
            // The sum of two records would leave out what cleared the part between them.
            _ => !self.sound.contains(&part) && record.breaks.len() > known,
        };
        if !is_news || self.quarantined.contains_key(&part) {
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
        if self.quarantined.len() < MAX_PARTS {
            self.insert_quarantined(part, runs);
        }
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
}

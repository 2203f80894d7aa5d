//! Requests whose prompts have suspicious or quarantined parts.
//!
//! Requests with a suspicious part wait in the scheduler's queue, where they expire like
//! all others, until the one that tries it has ended. The request with the fewest
//! suspicious parts goes first, because its end is evidence for or against few of them.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    fleet::{PartState, PlacementReply, PromptPart},
    ids::{HostId, RequestId, UpstreamName},
    outcome::NotRunReason,
    time::MonoTime,
};

use super::{Coordinator, requests::HostRequest};

/// Time after which a caller whose prompt has a quarantined part may ask again: only
/// operators lift a quarantine.
pub(crate) const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);

impl Coordinator {
    /// Returns how a request with these parts may start, or `None` if it may not.
    pub(super) fn admit_parts(&self, parts: &[PromptPart]) -> Option<Admission> {
        if self.trials.is_empty() && self.quarantine.state_of(parts) != PartState::Quarantined {
            return Some(Admission::Start);
        }
        match self.quarantine.state_of(parts) {
            PartState::Quarantined => None,
            PartState::Stopped => Some(Admission::Hold),
            PartState::Free | PartState::Trial if self.is_tried(parts) => Some(Admission::Hold),
            PartState::Free | PartState::Trial => Some(Admission::Start),
        }
    }

    /// Adds an open request to the trials of its parts.
    pub(super) fn join_trials(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        for part in &open.parts {
            if let Some(members) = self.trials.get_mut(part) {
                members.insert(id);
            }
        }
    }

    /// Returns true if a request that is not held has one of these parts, of those that
    /// are suspicious.
    fn is_tried(&self, parts: &[PromptPart]) -> bool {
        let members = parts.iter().filter_map(|part| self.trials.get(part)).flatten();
        members.into_iter().any(|id| self.open.get(id).is_some_and(|open| !open.held))
    }

    /// Applies changed states of prompt parts to the open requests, and starts those
    /// that may be tried next.
    pub(super) fn update_trials(&mut self, now: MonoTime, out: &mut Vec<(HostId, PlacementReply)>) {
        let changed = self.quarantine.take_changed();
        for part in &changed {
            self.update_trial(now, *part, out);
        }
        self.changed_parts.extend(changed);
        let open = &self.open;
        self.trials.values_mut().for_each(|members| members.retain(|id| open.contains_key(id)));
        while let Some(id) = self.next_trial() {
            self.start_trial(now, id, out);
        }
    }

    fn update_trial(
        &mut self,
        now: MonoTime,
        part: PromptPart,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        match self.quarantine.state(part) {
            PartState::Free => {
                for id in self.trials.remove(&part).into_iter().flatten() {
                    let is_free = |open: &HostRequest| {
                        open.held && !open.parts.iter().any(|part| self.trials.contains_key(part))
                    };
                    if self.open.get(&id).is_some_and(is_free) {
                        self.start_trial(now, id, out);
                    }
                }
            }
            PartState::Quarantined => {
                self.trials.remove(&part);
                for id in self.waiting_with(part) {
                    self.refuse_quarantined(now, id, out);
                }
            }
            PartState::Trial | PartState::Stopped => {
                let open = self.open.iter().filter(|(_, open)| open.parts.contains(&part));
                let members = open.map(|(id, _)| *id).collect::<BTreeSet<_>>();
                self.trials.insert(part, members);
                for id in self.waiting_with(part) {
                    self.hold(id);
                }
            }
        }
    }

    /// Returns the requests with this part that are not granted.
    fn waiting_with(&self, part: PromptPart) -> Vec<RequestId> {
        let open = self.open.iter();
        let waiting = open.filter(|(_, open)| !open.granted && open.parts.contains(&part));
        waiting.map(|(id, _)| *id).collect()
    }

    /// Refuses a waiting request that has a quarantined part.
    pub(super) fn refuse_quarantined(
        &mut self,
        now: MonoTime,
        id: RequestId,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        let Some(open) = self.remove_open(now, id) else { return };
        let reason = NotRunReason::PromptQuarantined;
        out.push((open.host, PlacementReply::Refuse(id, reason, QUARANTINE_RETRY_AFTER)));
        self.step(now, &open.upstream, out, |scheduler, decisions| {
            scheduler.withdraw(now, id, decisions);
        });
    }

    fn hold(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id).filter(|open| !open.held) else { return };
        open.held = true;
        if let Some(state) = self.upstreams.get_mut(&open.upstream) {
            state.scheduler.hold(id);
        }
    }

    /// Returns the held request that may be tried next.
    fn next_trial(&self) -> Option<RequestId> {
        let free = self.trials.iter().filter(|(part, _)| {
            self.quarantine.state(**part) == PartState::Trial && !self.is_tried(&[**part])
        });
        let candidates = free.flat_map(|(_, members)| members).filter_map(|id| {
            let open = self.open.get(id).filter(|open| open.held)?;
            let may_start = self.admit_parts(&open.parts) == Some(Admission::Start);
            let suspicious = open.parts.iter().filter(|part| self.trials.contains_key(part));
            may_start.then(|| (suspicious.count(), *id))
        });
        candidates.min().map(|(_, id)| id)
    }

    /// Lets a held request be granted.
    fn start_trial(
        &mut self,
        now: MonoTime,
        id: RequestId,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.held = false;
        let upstream: UpstreamName = open.upstream.clone();
        self.step(now, &upstream, out, |scheduler, decisions| {
            scheduler.release_hold(now, id, decisions);
        });
    }
}

/// How a request may start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Admission {
    /// At once.
    Start,
    /// Once the request that tries one of its parts has ended.
    Hold,
}

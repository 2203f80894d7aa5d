//! Requests that may crash runners, or are known to.
//!
//! Requests with a suspect wait in the scheduler's queue, where they expire like all
//! others, until the one that tries it has ended. The request with the fewest suspects
//! goes first, because its end is evidence for or against few of them.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    fleet::{PlacementReply, Suspect, SuspectState},
    ids::{HostId, RequestId, UpstreamName},
    outcome::NotRunReason,
    time::MonoTime,
};

use super::{Coordinator, requests::HostRequest};

/// Time after which a caller of a quarantined request may ask again: only
/// operators lift a quarantine.
pub(crate) const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);

impl Coordinator {
    /// Returns how a request with these suspects may start, or `None` if it may not.
    pub(super) fn admit_suspects(&self, suspects: &[Suspect]) -> Option<Admission> {
        if self.trials.is_empty() && self.quarantine.state_of(suspects) != SuspectState::Quarantined
        {
            return Some(Admission::Start);
        }
        match self.quarantine.state_of(suspects) {
            SuspectState::Quarantined => None,
            SuspectState::Stopped => Some(Admission::Hold),
            SuspectState::Free | SuspectState::Trial if self.is_tried(suspects) => {
                Some(Admission::Hold)
            }
            SuspectState::Free | SuspectState::Trial => Some(Admission::Start),
        }
    }

    /// Adds an open request to the trials of its suspects.
    pub(super) fn join_trials(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        for suspect in &open.suspects {
            if let Some(members) = self.trials.get_mut(suspect) {
                members.insert(id);
            }
        }
    }

    /// Returns true if a request that is not held has one of these suspects, of those that
    /// are suspicious.
    fn is_tried(&self, suspects: &[Suspect]) -> bool {
        let members = suspects.iter().filter_map(|suspect| self.trials.get(suspect)).flatten();
        members.into_iter().any(|id| self.open.get(id).is_some_and(|open| !open.held))
    }

    /// Applies changed states of suspects to the open requests, and starts those
    /// that may be tried next.
    pub(super) fn update_trials(&mut self, now: MonoTime, out: &mut Vec<(HostId, PlacementReply)>) {
        let changed = self.quarantine.take_changed();
        for suspect in &changed {
            self.update_trial(now, *suspect, out);
        }
        self.changed_suspects.extend(changed);
        let open = &self.open;
        self.trials.values_mut().for_each(|members| members.retain(|id| open.contains_key(id)));
        while let Some(id) = self.next_trial() {
            self.start_trial(now, id, out);
        }
    }

    fn update_trial(
        &mut self,
        now: MonoTime,
        suspect: Suspect,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        match self.quarantine.state(suspect) {
            SuspectState::Free => {
                for id in self.trials.remove(&suspect).into_iter().flatten() {
                    let is_free = |open: &HostRequest| {
                        open.held
                            && !open
                                .suspects
                                .iter()
                                .any(|suspect| self.trials.contains_key(suspect))
                    };
                    if self.open.get(&id).is_some_and(is_free) {
                        self.start_trial(now, id, out);
                    }
                }
            }
            SuspectState::Quarantined => {
                self.trials.remove(&suspect);
                for id in self.waiting_with(suspect) {
                    self.refuse_quarantined(now, id, out);
                }
            }
            SuspectState::Trial | SuspectState::Stopped => {
                let open = self.open.iter().filter(|(_, open)| open.suspects.contains(&suspect));
                let members = open.map(|(id, _)| *id).collect::<BTreeSet<_>>();
                self.trials.insert(suspect, members);
                for id in self.waiting_with(suspect) {
                    self.hold(id);
                }
            }
        }
    }

    /// Returns the requests with this suspect that are not granted.
    fn waiting_with(&self, suspect: Suspect) -> Vec<RequestId> {
        let open = self.open.iter();
        let waiting = open.filter(|(_, open)| !open.granted && open.suspects.contains(&suspect));
        waiting.map(|(id, _)| *id).collect()
    }

    /// Refuses a waiting request that has a quarantined suspect.
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
        let free = self.trials.iter().filter(|(suspect, _)| {
            self.quarantine.state(**suspect) == SuspectState::Trial && !self.is_tried(&[**suspect])
        });
        let candidates = free.flat_map(|(_, members)| members).filter_map(|id| {
            let open = self.open.get(id).filter(|open| open.held)?;
            let may_start = self.admit_suspects(&open.suspects) == Some(Admission::Start);
            let tried = open.suspects.iter().filter(|suspect| self.trials.contains_key(suspect));
            may_start.then(|| (tried.count(), *id))
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
    /// Once the request that tries one of its suspects has ended.
    Hold,
}

//! Requests that may crash runners, or are known to.
//!
//! Requests with a suspect wait in the scheduler's queue, where they expire like all
//! others, until the one that tries it has ended. The request with the fewest suspects
//! goes first, because its end is evidence for or against few of them.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    fleet::{PlacementReply, Suspect, SuspectList, SuspectState},
    ids::{HostId, RequestId, UpstreamName},
    outcome::NotRunReason,
    time::MonoTime,
};

use super::{Coordinator, requests::HostRequest};

/// Time after which a caller of a quarantined request may ask again: only
/// operators lift a quarantine.
pub(crate) const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Time after the last break from which on a request is tried even if its upstream has no
/// other runner.
const LAST_RUNNER_DELAY: Duration = Duration::from_secs(10);

impl Coordinator {
    /// Returns how a request with these suspects may start, or why it may not.
    pub(super) fn admit_suspects(
        &self,
        now: MonoTime,
        upstream: &UpstreamName,
        suspects: &SuspectList,
    ) -> Result<Admission, NotRunReason> {
        if let Some(reason) = self.quarantine.refusal(suspects) {
            return Err(reason);
        }
        if self.trials.is_empty() {
            return Ok(Admission::Start);
        }
        let may_start = match self.quarantine.state_of(suspects) {
            SuspectState::Quarantined | SuspectState::Stopped => false,
            SuspectState::Free => !self.is_tried(upstream, suspects),
            SuspectState::Trial => {
                !self.is_tried(upstream, suspects) && self.may_try(now, upstream, suspects)
            }
        };
        Ok(if may_start { Admission::Start } else { Admission::Hold })
    }

    /// Returns true if the upstream can spare the runner that a trial may crash.
    fn may_try(&self, now: MonoTime, upstream: &UpstreamName, suspects: &SuspectList) -> bool {
        let state = self.upstreams.get(upstream);
        state.is_none_or(|state| state.scheduler.can_spare_runner(now))
            || now.since(self.quarantine.last_break(suspects)) >= LAST_RUNNER_DELAY
    }

    /// Adds an open request to the trials of its suspects.
    pub(super) fn join_trials(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        for suspect in open.suspects.found_in(&self.trials) {
            if let Some(members) = self.trials.get_mut(&suspect) {
                members.insert(id);
            }
        }
    }

    /// Returns true if a request that is not held has one of these suspects, of those that
    /// are tried. A whole request is tried alone at its upstream.
    fn is_tried(&self, upstream: &UpstreamName, suspects: &SuspectList) -> bool {
        let is_request = |suspect: &Suspect| matches!(suspect, Suspect::Request(_));
        let is_started = |id: &RequestId| self.open.get(id).is_some_and(|open| !open.held);
        let is_here = |id: &RequestId| {
            self.open.get(id).is_some_and(|open| !open.held && open.upstream == *upstream)
        };
        let tried = suspects.found_in(&self.trials);
        let mut tried = tried.iter().filter_map(|suspect| self.trials.get_key_value(suspect));
        tried.any(|(suspect, members)| {
            let mut others = self.trials.iter().filter(|(other, _)| is_request(other));
            members.iter().any(is_started)
                || (is_request(suspect) && others.any(|(_, members)| members.iter().any(is_here)))
        })
    }

    /// Applies changed states of suspects to the open requests, and starts those
    /// that may be tried next.
    pub(super) fn update_trials(&mut self, now: MonoTime, out: &mut Vec<(HostId, PlacementReply)>) {
        if !self.clients.is_empty() {
            self.quarantine.decide();
        }
        let changed = self.quarantine.take_changed();
        for suspect in &changed {
            self.update_trial(now, *suspect, out);
        }
        self.changed_suspects.extend(changed);
        let open = &self.open;
        self.trials.values_mut().for_each(|members| members.retain(|id| open.contains_key(id)));
        while let Some(id) = self.next_trial(now) {
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
                        open.held && open.suspects.found_in(&self.trials).is_empty()
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
                let open = self.open.iter().filter(|(_, open)| open.suspects.contains(suspect));
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
        let waiting = open.filter(|(_, open)| !open.granted && open.suspects.contains(suspect));
        waiting.map(|(id, _)| *id).collect()
    }

    /// Refuses a waiting request that has a quarantined suspect.
    pub(super) fn refuse_quarantined(
        &mut self,
        now: MonoTime,
        id: RequestId,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        let suspects = self.open.get(&id).map(|open| &open.suspects);
        let reason = suspects.and_then(|suspects| self.quarantine.refusal(suspects));
        let (Some(reason), Some(open)) = (reason, self.remove_open(now, id)) else { return };
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

    /// Holds a request that waits again if one of its suspects is tried. Returns true if so.
    pub(super) fn hold_for_trial(&mut self, id: RequestId) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        open.held = !open.suspects.found_in(&self.trials).is_empty();
        open.held
    }

    /// Returns the held request that may be tried next.
    fn next_trial(&self, now: MonoTime) -> Option<RequestId> {
        let tried = self
            .trials
            .iter()
            .filter(|(suspect, _)| self.quarantine.state(**suspect) == SuspectState::Trial);
        let ids: BTreeSet<_> = tried.flat_map(|(_, members)| members).collect();
        let candidates = ids.into_iter().filter_map(|id| {
            let open = self.open.get(id).filter(|open| open.held)?;
            let admission = self.admit_suspects(now, &open.upstream, &open.suspects);
            let tried = || open.suspects.found_in(&self.trials).len();
            (admission == Ok(Admission::Start)).then(|| (tried(), *id))
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

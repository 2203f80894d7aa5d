//! Requests whose prompts have suspicious or quarantined parts.
//!
//! Requests with a suspicious part wait in the scheduler's queue, where they expire like
//! all others, until the one that tries it has ended. The request with the fewest
//! suspicious parts goes first: it tells the most about each of them.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    fleet::{
        PartQuarantine, PartRecord, PartRun, PartState, PlacementReply, PromptPart, RecordSource,
        RunnerChange, RunnerKey,
    },
    ids::{HostId, RequestId, UpstreamName},
    outcome::NotRunReason,
    request::DispatchEnd,
    time::MonoTime,
};

use super::{Coordinator, requests::HostRequest};

/// Time after which a caller whose prompt has a quarantined part may ask again: only
/// operators lift a quarantine.
pub(crate) const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);

impl Coordinator {
    /// Returns the prompt parts that are suspicious or quarantined.
    #[must_use]
    pub fn quarantine(&self) -> &PartQuarantine {
        &self.quarantine
    }

    /// Adds what another host knows of prompt parts.
    pub fn learn_parts<I>(
        &mut self,
        now: MonoTime,
        records: I,
        source: RecordSource,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) where
        I: IntoIterator<Item = PartRecord>,
    {
        for record in records {
            self.quarantine.learn(now, &record, source);
        }
        self.update_trials(now, out);
    }

    /// Quarantines a prompt part, as the store says.
    pub fn set_quarantined(
        &mut self,
        now: MonoTime,
        part: PromptPart,
        runs: Vec<RunnerKey>,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        self.quarantine.set_quarantined(part, runs);
        self.update_trials(now, out);
    }

    /// Allows a quarantined prompt part again, as the operators decided.
    pub fn allow_part(
        &mut self,
        now: MonoTime,
        part: PromptPart,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        self.quarantine.allow(part);
        self.update_trials(now, out);
    }

    /// Records a complete response to a request of this host, whose coordinator is
    /// another one.
    pub fn record_own_response(
        &mut self,
        now: MonoTime,
        parts: &[PromptPart],
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        self.quarantine.completed(parts);
        self.update_trials(now, out);
    }

    /// Updates what only time changes of prompt parts.
    pub fn check_parts(&mut self, now: MonoTime, out: &mut Vec<(HostId, PlacementReply)>) {
        self.quarantine.tick(now);
        self.update_trials(now, out);
    }

    /// Returns what has changed of prompt parts since the last call, as far as other
    /// hosts need to know.
    pub fn take_part_updates(&mut self) -> Vec<PartRecord> {
        let mut updates = Vec::new();
        for part in std::mem::take(&mut self.changed_parts) {
            let is_known = self.quarantine.state(part) != PartState::Free;
            let was_shared = match is_known {
                true => !self.shared_parts.insert(part),
                false => self.shared_parts.remove(&part),
            };
            if is_known || was_shared {
                updates.push(self.quarantine.record(part));
            }
        }
        updates
    }

    /// Records how a request with prompt parts ended at its runner.
    pub(super) fn record_part_end(&mut self, open: &HostRequest, now: MonoTime, end: DispatchEnd) {
        if matches!(end, DispatchEnd::Complete(_)) {
            self.record_response(now, open);
        }
        if open.parts.is_empty() {
            return;
        }
        let unframed = match end {
            DispatchEnd::Complete(usage) if !usage.until_close => {
                self.quarantine.completed(&open.parts);
                return;
            }
            DispatchEnd::Complete(_) => true,
            DispatchEnd::Failed => false,
            DispatchEnd::Cancelled => return,
        };
        let Some((runner, granted_at)) = &open.dispatch else { return };
        let state = self.upstreams.get(&open.upstream);
        let known = state.and_then(|state| state.runners.get(runner));
        // A run that leaves as planned breaks off what takes too long.
        let Some(known) = known.filter(|known| !known.leaving) else { return };
        let run = PartRun {
            runner: known.key.clone(),
            parts: open.parts.clone(),
            granted_at: *granted_at,
            ended_at: now,
        };
        match unframed {
            true => self.quarantine.completed_unframed(run),
            false => self.quarantine.broke(&run),
        }
    }

    /// Records that a request got a response.
    pub(super) fn record_response(&mut self, now: MonoTime, open: &HostRequest) {
        if !self.quarantine.has_unconfirmed(now) {
            return;
        }
        let Some((runner, _)) = &open.dispatch else { return };
        let state = self.upstreams.get(&open.upstream);
        if let Some(known) = state.and_then(|state| state.runners.get(runner)) {
            self.quarantine.run_responded(now, &known.key);
        }
    }

    /// Records that a runner refused the connection of a request.
    pub(super) fn record_refused_connection(&mut self, now: MonoTime, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let Some((runner, _)) = &open.dispatch else { return };
        let state = self.upstreams.get(&open.upstream);
        let Some(known) = state.and_then(|state| state.runners.get(runner)) else { return };
        if !known.leaving && self.quarantine.has_unconfirmed(now) {
            self.quarantine.run_ended(now, &known.key);
        }
    }

    /// Records the runs whose end a runner's entry shows: its own, or one that had its
    /// address.
    pub(super) fn record_ended_runs(&mut self, now: MonoTime, change: &RunnerChange) {
        if !self.quarantine.has_unconfirmed(now) {
            return;
        }
        let entry = change.entry();
        let Some(state) = self.upstreams.get(&entry.upstream) else { return };
        match change {
            RunnerChange::Removed(_) => {
                let known = state.runners.get(&entry.key.name);
                match known.is_some_and(|known| known.leaving) {
                    true => self.quarantine.run_left(&entry.key),
                    false => self.quarantine.run_ended(now, &entry.key),
                }
            }
            RunnerChange::Leaving(_) => self.quarantine.run_left(&entry.key),
            RunnerChange::Usable(_) => {
                let replaced = state.runners.values().filter(|known| {
                    known.address == entry.address && known.key != entry.key && !known.leaving
                });
                for key in replaced.map(|known| known.key.clone()).collect::<Vec<_>>() {
                    self.quarantine.run_ended(now, &key);
                }
            }
        }
    }

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

//! What the coordinator learns of prompt parts that crash runners.

use crate::{
    fleet::{
        PartQuarantine, PartRecord, PartRun, PartState, PlacementReply, PromptPart, RecordSource,
        RunnerChange, RunnerKey,
    },
    ids::{HostId, RequestId},
    request::DispatchEnd,
    time::MonoTime,
};

use super::{Coordinator, requests::HostRequest};

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
        if !self.quarantine.has_unconfirmed() {
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
        if !known.leaving && self.quarantine.has_unconfirmed() {
            self.quarantine.run_ended(now, &known.key);
        }
    }

    /// Records the runs whose end a runner's entry shows: its own, or one that had its
    /// address.
    pub(super) fn record_ended_runs(&mut self, now: MonoTime, change: &RunnerChange) {
        if !self.quarantine.has_unconfirmed() {
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
}

//! What the coordinator learns of requests that crash runners.

use crate::{
    fleet::{
        PlacementReply, Quarantine, RecordSource, RunnerChange, RunnerKey, Suspect, SuspectList,
        SuspectRecord, SuspectRun, SuspectState,
    },
    ids::HostId,
    request::DispatchEnd,
    time::MonoTime,
};

use super::{Coordinator, requests::HostRequest};

impl Coordinator {
    /// Returns what is suspected or quarantined.
    #[must_use]
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Adds what another host knows of suspects.
    pub fn learn_suspects<I>(
        &mut self,
        now: MonoTime,
        records: I,
        source: RecordSource,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) where
        I: IntoIterator<Item = SuspectRecord>,
    {
        for record in records {
            self.quarantine.learn(now, &record, source);
        }
        self.update_trials(now, out);
    }

    /// Quarantines a suspect, as the store says.
    pub fn set_quarantined(
        &mut self,
        now: MonoTime,
        suspect: Suspect,
        runs: Vec<RunnerKey>,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        self.quarantine.set_quarantined(suspect, runs);
        self.update_trials(now, out);
    }

    /// Allows a quarantined suspect again, as the operators decided.
    pub fn allow_suspect(
        &mut self,
        now: MonoTime,
        suspect: Suspect,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        self.quarantine.allow(suspect);
        self.update_trials(now, out);
    }

    /// Records a complete response to a request of this host, whose coordinator is
    /// another one.
    pub fn record_own_response(
        &mut self,
        now: MonoTime,
        suspects: &SuspectList,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        self.quarantine.completed(suspects);
        self.update_trials(now, out);
    }

    /// Updates what only time changes of suspects.
    pub fn check_suspects(&mut self, now: MonoTime, out: &mut Vec<(HostId, PlacementReply)>) {
        self.quarantine.tick(now, self.verified_at);
        self.update_trials(now, out);
    }

    /// Returns what has changed of suspects since the last call, as far as other
    /// hosts need to know.
    pub fn take_suspect_updates(&mut self) -> Vec<SuspectRecord> {
        let mut updates = Vec::new();
        for suspect in std::mem::take(&mut self.changed_suspects) {
            let is_known = self.quarantine.state(suspect) != SuspectState::Free;
            let was_shared = match is_known {
                true => !self.shared_suspects.insert(suspect),
                false => self.shared_suspects.remove(&suspect),
            };
            if is_known || was_shared {
                updates.push(self.quarantine.record(suspect));
            }
        }
        updates
    }

    /// Records how a request with suspects ended at its runner.
    pub(super) fn record_suspect_end(
        &mut self,
        open: &HostRequest,
        now: MonoTime,
        end: DispatchEnd,
    ) {
        if matches!(end, DispatchEnd::Complete(_)) {
            self.record_response(now, open);
        }
        if open.suspects.is_empty() {
            return;
        }
        let unframed = match end {
            DispatchEnd::Complete(usage) if !usage.until_close => {
                self.quarantine.completed(&open.suspects);
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
        let run = SuspectRun {
            runner: known.key.clone(),
            suspects: open.suspects.clone(),
            granted_at: *granted_at,
            begun_at: open.begun_at,
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

    /// Records the runs whose end a runner's entry shows: its own, or one that had its
    /// address.
    pub(super) fn record_ended_runs(&mut self, change: &RunnerChange) {
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
                    false => self.quarantine.run_ended(&entry.key),
                }
            }
            RunnerChange::Leaving(_) => self.quarantine.run_left(&entry.key),
            RunnerChange::Usable(_) => {
                let replaced = state.runners.values().filter(|known| {
                    known.address == entry.address && known.key != entry.key && !known.leaving
                });
                for key in replaced.map(|known| known.key.clone()).collect::<Vec<_>>() {
                    self.quarantine.run_ended(&key);
                }
            }
        }
    }
}

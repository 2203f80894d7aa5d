//! Passes requests between the workers and the entry.

use std::time::Duration;

use comfreyway_core::{
    entry::EntryInput,
    ids::{Epoch, PoolId, RequestId, RunnerName},
    outcome::RetryReason,
    owner::{self, IdempotencyKey, Identity},
    request::RequestRecord,
};

use super::{ControlActor, Decision, Progress, Submission};

impl ControlActor {
    pub(super) fn submit(&mut self, submission: Submission) {
        let Submission { id, pool, decisions, .. } = &submission;
        self.workers.insert(*id, decisions.clone());
        let pool = pool.clone();
        let record = RequestRecord {
            id: *id,
            entry: self.host.clone(),
            workspace: submission.workspace,
            class: submission.class,
            tier: submission.tier,
            target: submission.target,
            age: Duration::ZERO,
            prefill_tokens: submission.prefill_tokens,
            max_decode_tokens: submission.max_decode_tokens,
            prefix: submission.prefix,
            prefix_tokens: Vec::new(),
            length_hint: None,
            body_bytes: submission.body_bytes,
        };
        let workspace = record.workspace.clone();
        let idempotent = submission.idempotent;
        let identity = submission.key.map(|caller_key| Identity {
            key: IdempotencyKey { workspace, key: caller_key.key },
            digest: caller_key.digest,
            idempotent,
        });
        let submission = owner::Submission { record, identity };
        let input = EntryInput::Received { submission, pool };
        self.decisions.entry_input(self.clock.now(), input, &mut self.effects);
    }

    pub(super) fn progress(&mut self, id: RequestId, progress: Progress) {
        let input = match progress {
            Progress::NotSent(reason) => EntryInput::NotSent { id, reason },
            Progress::FirstToken => EntryInput::FirstToken(id),
            Progress::RunnerLeaving => EntryInput::RunnerLeaving(id),
            Progress::Ended(end) => {
                self.workers.remove(&id);
                EntryInput::Ended { id, end }
            }
            Progress::CallerGone => {
                self.workers.remove(&id);
                EntryInput::CallerGone(id)
            }
        };
        self.decisions.entry_input(self.clock.now(), input, &mut self.effects);
    }

    /// Sends a worker the final decision on its request.
    pub(super) fn send_final_decision(&mut self, id: RequestId, decision: Decision) {
        if let Some(tx) = self.workers.remove(&id) {
            // The channel is closed if the caller has disconnected.
            let _ = tx.send(decision);
        }
    }

    pub(super) fn dispatch(
        &mut self,
        id: RequestId,
        pool: &PoolId,
        runner: RunnerName,
        epoch: Epoch,
    ) {
        let address = self.runners.address(pool, &runner);
        let worker = self.workers.get(&id);
        let (Some(address), Some(tx)) = (address, worker) else {
            let input = EntryInput::NotSent { id, reason: RetryReason::RunnerLeaving };
            self.decisions.entry_input(self.clock.now(), input, &mut self.effects);
            return;
        };
        if tx.send(Decision::Dispatch { runner, address, epoch }).is_err() {
            let now = self.clock.now();
            let reason = RetryReason::GrantExpired;
            self.decisions.entry_input(now, EntryInput::NotSent { id, reason }, &mut self.effects);
            self.decisions.entry_input(now, EntryInput::CallerGone(id), &mut self.effects);
            self.workers.remove(&id);
        }
    }
}

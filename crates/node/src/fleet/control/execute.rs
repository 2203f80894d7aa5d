//! Carries out the decisions of the coordinator and of its client.

use std::collections::VecDeque;

use comfreyway_core::{
    fleet::{ClientAction, PlacementReply},
    ids::{HostId, RequestId},
    outcome::RetryReason,
};

use crate::fleet::{
    request_handle::RequestDecision,
    wire::{ToCoordinator, ToHost},
};

use super::FleetControl;

impl FleetControl {
    /// Executes the decisions of the coordinator and of its client.
    pub(super) fn execute(
        &mut self,
        actions: Vec<ClientAction>,
        replies: Vec<(HostId, PlacementReply)>,
    ) {
        let now = self.now();
        let mut actions = VecDeque::from(actions);
        let mut replies = VecDeque::from(replies);
        let mut more = Vec::new();
        let mut new_replies = Vec::new();
        loop {
            if let Some((host, reply)) = replies.pop_front() {
                if host == self.me.id {
                    self.coordinator_client.handle_reply(None, reply, &mut more);
                } else {
                    self.send_runner_entry(&host, &reply);
                    self.send_to_client(&host, &ToHost::Reply(reply));
                }
            } else if let Some(action) = actions.pop_front() {
                match action {
                    ClientAction::Send(None, update) => {
                        self.coordinator.handle_update(now, &self.me.id, update, &mut new_replies);
                    }
                    ClientAction::Send(Some(host), update) => {
                        self.send_to_coordinator(&host, ToCoordinator::Update(update));
                    }
                    ClientAction::Dispatch(id, runner, version) => {
                        let client = &mut self.coordinator_client;
                        if let Some(reason) = client.quarantine_refusal(id, &self.coordinator) {
                            client.refuse_quarantined(id, reason, &mut more);
                            continue;
                        }
                        match self.directory.dispatchable(now, &runner) {
                            // Another run has taken over the runner's name, or the
                            // coordinator doesn't know yet that its version is bad.
                            Ok(entry)
                                if version.is_some() && entry.version != version
                                    || self.coordinator.is_rolled_back(
                                        &entry.upstream,
                                        entry.version.as_ref(),
                                    ) =>
                            {
                                let reason = RetryReason::RunnerLeaving;
                                self.coordinator_client.requeue(id, reason, &mut more);
                            }
                            Ok(entry) => {
                                self.coordinator_client.dispatched(id, entry.version.clone());
                                let decision = RequestDecision::Dispatch(Box::new(entry.clone()));
                                self.send_decision(id, decision);
                            }
                            Err((reason, notice)) => {
                                // This coordinator may not have been told yet.
                                if let Some(notice) = notice {
                                    self.report_notice(now, notice);
                                }
                                self.coordinator_client.requeue(id, reason, &mut more);
                            }
                        }
                    }
                    ClientAction::Refuse(id, reason, retry_after) => {
                        self.send_decision(id, RequestDecision::Refuse(reason, retry_after));
                        self.decision_txs.remove(&id);
                    }
                }
            } else {
                return;
            }
            actions.extend(more.drain(..));
            replies.extend(new_replies.drain(..));
        }
    }

    fn send_decision(&self, id: RequestId, decision: RequestDecision) {
        let Some(tx) = self.decision_txs.get(&id) else { return };
        if tx.send(decision).is_err() {
            log::debug!("request {id} was withdrawn before its decision");
        }
    }
}

//! The requests of one host and the coordinator it uses for them.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{HostId, RequestId, RunnerName},
    outcome::{NotRunReason, RetryReason},
    request::DispatchEnd,
    time::MonoTime,
};

use super::{PlacementReply, PlacementRequest, RequestUpdate};

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientAction {
    /// Send an update to a coordinator; `None` is the host's own.
    Send(Option<HostId>, RequestUpdate),
    /// Send the request to this runner now.
    Dispatch(RequestId, RunnerName),
    /// Refuse the request without running it; the caller may try again after this time.
    Refuse(RequestId, NotRunReason, Duration),
}

#[derive(Clone, Debug)]
enum Stage {
    Waiting,
    Dispatched(RunnerName),
}

#[derive(Clone, Debug)]
struct OpenRequest {
    req: PlacementRequest,
    submitted_at: MonoTime,
    stage: Stage,
}

/// Tracks the open requests of one host and reports them to its coordinator.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorClient {
    open: BTreeMap<RequestId, OpenRequest>,
    coordinator: Option<HostId>,
}

impl CoordinatorClient {
    /// Returns the current coordinator; `None` is the host's own.
    #[must_use]
    pub fn coordinator(&self) -> Option<&HostId> {
        self.coordinator.as_ref()
    }

    /// Returns the number of requests that have neither ended nor been refused.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Switches to another coordinator and reports every open request to it.
    pub fn set_coordinator(
        &mut self,
        now: MonoTime,
        coordinator: Option<HostId>,
        out: &mut Vec<ClientAction>,
    ) {
        if self.coordinator == coordinator {
            return;
        }
        let former = std::mem::replace(&mut self.coordinator, coordinator.clone());
        for (id, open) in &self.open {
            // The former coordinator may still be up and must not grant.
            out.push(ClientAction::Send(former.clone(), RequestUpdate::Withdraw(*id)));
            out.push(ClientAction::Send(coordinator.clone(), open.to_update(now)));
        }
    }

    /// Submits a request that needs a runner.
    pub fn submit(&mut self, now: MonoTime, req: PlacementRequest, out: &mut Vec<ClientAction>) {
        let id = req.record.id;
        let open = OpenRequest { req, submitted_at: now, stage: Stage::Waiting };
        let update = open.to_update(now);
        self.open.insert(id, open);
        out.push(ClientAction::Send(self.coordinator.clone(), update));
    }

    /// Withdraws a request whose caller disconnected or whose time limit ended
    /// before its dispatch.
    pub fn withdraw(&mut self, id: RequestId, out: &mut Vec<ClientAction>) {
        if self.open.remove(&id).is_some() {
            out.push(ClientAction::Send(self.coordinator.clone(), RequestUpdate::Withdraw(id)));
        }
    }

    /// Requeues a request that the runner is known not to have run.
    pub fn requeue(&mut self, id: RequestId, reason: RetryReason, out: &mut Vec<ClientAction>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.stage = Stage::Waiting;
        out.push(ClientAction::Send(self.coordinator.clone(), RequestUpdate::Requeue(id, reason)));
    }

    /// Reports that the first token or byte of the response arrived.
    pub fn first_token(&mut self, id: RequestId, out: &mut Vec<ClientAction>) {
        if self.open.contains_key(&id) {
            out.push(ClientAction::Send(self.coordinator.clone(), RequestUpdate::FirstToken(id)));
        }
    }

    /// Reports that a request ended at its runner.
    pub fn ended(&mut self, id: RequestId, end: DispatchEnd, out: &mut Vec<ClientAction>) {
        if self.open.remove(&id).is_some() {
            out.push(ClientAction::Send(self.coordinator.clone(), RequestUpdate::Ended(id, end)));
        }
    }

    /// Handles a reply of a coordinator; `None` is the host's own. Replies of a
    /// former coordinator are ignored.
    pub fn handle_reply(
        &mut self,
        from: Option<&HostId>,
        reply: PlacementReply,
        out: &mut Vec<ClientAction>,
    ) {
        if from != self.coordinator.as_ref() {
            return;
        }
        match reply {
            PlacementReply::Grant(id, runner) => match self.open.get_mut(&id) {
                Some(open) if matches!(open.stage, Stage::Waiting) => {
                    open.stage = Stage::Dispatched(runner.clone());
                    out.push(ClientAction::Dispatch(id, runner));
                }
                Some(_) => {}
                None => out.push(ClientAction::Send(from.cloned(), RequestUpdate::Withdraw(id))),
            },
            PlacementReply::Refuse(id, reason, retry_after) => {
                let waits = self.open.get(&id).is_some_and(|o| matches!(o.stage, Stage::Waiting));
                if waits {
                    self.open.remove(&id);
                    out.push(ClientAction::Refuse(id, reason, retry_after));
                }
            }
        }
    }
}

impl OpenRequest {
    fn to_update(&self, now: MonoTime) -> RequestUpdate {
        let mut req = self.req.clone();
        req.record.age += now.since(self.submitted_at);
        match &self.stage {
            Stage::Waiting => RequestUpdate::Submit(Box::new(req)),
            Stage::Dispatched(runner) => RequestUpdate::Adopt(Box::new(req), runner.clone()),
        }
    }
}

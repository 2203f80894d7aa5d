//! The requests of one host, and whom it asks for them.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{HostId, RequestId, RunnerName},
    outcome::{NotRunReason, RetryReason},
    request::DispatchEnd,
    time::MonoTime,
};

use super::{PlacementReply, PlacementRequest, RequestUpdate};

/// An effect of one decision.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientAction {
    /// Tell a coordinator; none is the host's own.
    Send(Option<HostId>, RequestUpdate),
    /// Send the request to this runner now.
    Dispatch(RequestId, RunnerName),
    /// Answer the caller that the request was not run.
    Refuse(RequestId, NotRunReason, Duration),
}

#[derive(Clone, Debug)]
enum Stage {
    Waiting,
    Sent(RunnerName),
}

#[derive(Clone, Debug)]
struct Open {
    question: PlacementRequest,
    arrived: MonoTime,
    stage: Stage,
}

/// The requests of one host.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorClient {
    open: BTreeMap<RequestId, Open>,
    coordinator: Option<HostId>,
}

impl CoordinatorClient {
    /// The coordinator that is asked; none is the host's own.
    #[must_use]
    pub fn coordinator(&self) -> Option<&HostId> {
        self.coordinator.as_ref()
    }

    /// Requests that are neither answered nor refused.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Asks another coordinator from now on, and tells it of every request.
    pub fn set_coordinator(
        &mut self,
        now: MonoTime,
        coordinator: Option<HostId>,
        out: &mut Vec<ClientAction>,
    ) {
        if self.coordinator == coordinator {
            return;
        }
        let before = std::mem::replace(&mut self.coordinator, coordinator.clone());
        for (id, open) in &self.open {
            // The former coordinator may still be there: it must not grant.
            out.push(ClientAction::Send(before.clone(), RequestUpdate::Withdraw(*id)));
            out.push(ClientAction::Send(coordinator.clone(), open.ask(now)));
        }
    }

    /// A request waits for a runner.
    pub fn submit(
        &mut self,
        now: MonoTime,
        question: PlacementRequest,
        out: &mut Vec<ClientAction>,
    ) {
        let id = question.record.id;
        let open = Open { question, arrived: now, stage: Stage::Waiting };
        let ask = open.ask(now);
        self.open.insert(id, open);
        out.push(ClientAction::Send(self.coordinator.clone(), ask));
    }

    /// The caller left or the time is over before the request was sent.
    pub fn withdraw(&mut self, id: RequestId, out: &mut Vec<ClientAction>) {
        if self.open.remove(&id).is_some() {
            out.push(ClientAction::Send(self.coordinator.clone(), RequestUpdate::Withdraw(id)));
        }
    }

    /// The runner certainly did not run the request: it waits again.
    pub fn requeue(&mut self, id: RequestId, reason: RetryReason, out: &mut Vec<ClientAction>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.stage = Stage::Waiting;
        out.push(ClientAction::Send(self.coordinator.clone(), RequestUpdate::Requeue(id, reason)));
    }

    /// The first token or byte of the answer arrived.
    pub fn first_token(&mut self, id: RequestId, out: &mut Vec<ClientAction>) {
        if self.open.contains_key(&id) {
            out.push(ClientAction::Send(self.coordinator.clone(), RequestUpdate::FirstToken(id)));
        }
    }

    /// The request is over at its runner.
    pub fn ended(&mut self, id: RequestId, end: DispatchEnd, out: &mut Vec<ClientAction>) {
        if self.open.remove(&id).is_some() {
            out.push(ClientAction::Send(self.coordinator.clone(), RequestUpdate::Ended(id, end)));
        }
    }

    /// Takes in an answer of a coordinator; none is the host's own. Answers of
    /// a coordinator that is not asked any more count for nothing.
    pub fn handle_reply(
        &mut self,
        from: Option<&HostId>,
        tell: PlacementReply,
        out: &mut Vec<ClientAction>,
    ) {
        if from != self.coordinator.as_ref() {
            return;
        }
        match tell {
            PlacementReply::Grant(id, runner) => match self.open.get_mut(&id) {
                Some(open) if matches!(open.stage, Stage::Waiting) => {
                    open.stage = Stage::Sent(runner.clone());
                    out.push(ClientAction::Dispatch(id, runner));
                }
                Some(_) => {}
                None => out.push(ClientAction::Send(from.cloned(), RequestUpdate::Withdraw(id))),
            },
            PlacementReply::Refuse(id, reason, after) => {
                let waits = self.open.get(&id).is_some_and(|o| matches!(o.stage, Stage::Waiting));
                if waits {
                    self.open.remove(&id);
                    out.push(ClientAction::Refuse(id, reason, after));
                }
            }
        }
    }
}

impl Open {
    fn ask(&self, now: MonoTime) -> RequestUpdate {
        let mut question = self.question.clone();
        question.record.age += now.since(self.arrived);
        match &self.stage {
            Stage::Waiting => RequestUpdate::Submit(Box::new(question)),
            Stage::Sent(runner) => RequestUpdate::Adopt(Box::new(question), runner.clone()),
        }
    }
}

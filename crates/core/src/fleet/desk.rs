//! The requests of one host, and whom it asks for them.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{HostId, RequestId, RunnerName},
    outcome::{NotRunReason, RetryReason},
    request::DispatchEnd,
    time::MonoTime,
};

use super::{Ask, Question, Tell};

/// An effect of one decision.
#[derive(Clone, Debug, PartialEq)]
pub enum DeskAction {
    /// Tell a coordinator; none is the host's own.
    Ask(Option<HostId>, Ask),
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
    question: Question,
    arrived: MonoTime,
    stage: Stage,
}

/// The requests of one host.
#[derive(Clone, Debug, Default)]
pub struct Desk {
    open: BTreeMap<RequestId, Open>,
    coordinator: Option<HostId>,
}

impl Desk {
    /// The coordinator that is asked; none is the host's own.
    #[must_use]
    pub fn coordinator(&self) -> Option<&HostId> {
        self.coordinator.as_ref()
    }

    /// Requests that are neither answered nor refused.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Asks another coordinator from now on, and tells it of every request.
    pub fn follow(
        &mut self,
        now: MonoTime,
        coordinator: Option<HostId>,
        out: &mut Vec<DeskAction>,
    ) {
        if self.coordinator == coordinator {
            return;
        }
        let before = std::mem::replace(&mut self.coordinator, coordinator.clone());
        for (id, open) in &self.open {
            // The former coordinator may still be there: it must not grant.
            out.push(DeskAction::Ask(before.clone(), Ask::Withdraw(*id)));
            out.push(DeskAction::Ask(coordinator.clone(), open.ask(now)));
        }
    }

    /// A request waits for a runner.
    pub fn submit(&mut self, now: MonoTime, question: Question, out: &mut Vec<DeskAction>) {
        let id = question.record.id;
        let open = Open { question, arrived: now, stage: Stage::Waiting };
        let ask = open.ask(now);
        self.open.insert(id, open);
        out.push(DeskAction::Ask(self.coordinator.clone(), ask));
    }

    /// The caller left or the time is over before the request was sent.
    pub fn withdraw(&mut self, id: RequestId, out: &mut Vec<DeskAction>) {
        if self.open.remove(&id).is_some() {
            out.push(DeskAction::Ask(self.coordinator.clone(), Ask::Withdraw(id)));
        }
    }

    /// The runner certainly did not run the request: it waits again.
    pub fn not_run(&mut self, id: RequestId, reason: RetryReason, out: &mut Vec<DeskAction>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.stage = Stage::Waiting;
        out.push(DeskAction::Ask(self.coordinator.clone(), Ask::Back(id, reason)));
    }

    /// The first token or byte of the answer arrived.
    pub fn first_token(&mut self, id: RequestId, out: &mut Vec<DeskAction>) {
        if self.open.contains_key(&id) {
            out.push(DeskAction::Ask(self.coordinator.clone(), Ask::FirstToken(id)));
        }
    }

    /// The request is over at its runner.
    pub fn ended(&mut self, id: RequestId, end: DispatchEnd, out: &mut Vec<DeskAction>) {
        if self.open.remove(&id).is_some() {
            out.push(DeskAction::Ask(self.coordinator.clone(), Ask::Ended(id, end)));
        }
    }

    /// Takes in an answer of a coordinator; none is the host's own. Answers of
    /// a coordinator that is not asked any more count for nothing.
    pub fn told(&mut self, from: Option<&HostId>, tell: Tell, out: &mut Vec<DeskAction>) {
        if from != self.coordinator.as_ref() {
            return;
        }
        match tell {
            Tell::Grant(id, runner) => match self.open.get_mut(&id) {
                Some(open) if matches!(open.stage, Stage::Waiting) => {
                    open.stage = Stage::Sent(runner.clone());
                    out.push(DeskAction::Dispatch(id, runner));
                }
                Some(_) => {}
                None => out.push(DeskAction::Ask(from.cloned(), Ask::Withdraw(id))),
            },
            Tell::Refuse(id, reason, after) => {
                let waits = self.open.get(&id).is_some_and(|o| matches!(o.stage, Stage::Waiting));
                if waits {
                    self.open.remove(&id);
                    out.push(DeskAction::Refuse(id, reason, after));
                }
            }
        }
    }
}

impl Open {
    fn ask(&self, now: MonoTime) -> Ask {
        let mut question = self.question.clone();
        question.record.age += now.since(self.arrived);
        match &self.stage {
            Stage::Waiting => Ask::Place(Box::new(question)),
            Stage::Sent(runner) => Ask::Adopt(Box::new(question), runner.clone()),
        }
    }
}

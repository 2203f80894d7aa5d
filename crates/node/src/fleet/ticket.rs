//! Handle of one request, which connects a traffic thread with the control
//! thread.

use std::time::{Duration, Instant};

use comfreyway_core::{
    fleet::{PlacementRequest, RunnerEntry, RunnerKey},
    ids::{RequestId, RunnerName},
    outcome::{NotRunReason, RetryReason},
    request::DispatchEnd,
};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::{
    events::{Event, log_event},
    metrics::FleetMetrics,
};

/// A message from a traffic thread to the control thread.
#[derive(Debug)]
pub(super) enum WorkerMessage {
    /// Requests a runner; the results are sent to the channel.
    Submit(Box<PlacementRequest>, UnboundedSender<Verdict>),
    /// The request was abandoned before it was sent.
    Withdraw(RequestId),
    /// The runner is known not to have run the request: it is queued again.
    NotRun(RequestId, RetryReason),
    /// The first token or byte arrived.
    FirstToken(RequestId),
    /// The request ended at its runner.
    Ended(RequestId, DispatchEnd),
    /// This incarnation of a runner accepts no more requests.
    RunnerEnded(RunnerKey),
}

/// The control thread's decision on a request.
#[derive(Debug)]
pub(super) enum Verdict {
    /// Send the request to this runner now.
    Dispatch(Box<RunnerEntry>),
    /// Refuse the request; the caller may retry after this time.
    Refuse(NotRunReason, Duration),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Waiting,
    Sent,
    Closed,
}

/// Handle of a submitted request. Dropping it reports that the request was
/// abandoned.
#[derive(Debug)]
pub(super) struct Ticket {
    id: RequestId,
    control: UnboundedSender<WorkerMessage>,
    verdicts: UnboundedReceiver<Verdict>,
    stage: Stage,
    runner: Option<RunnerName>,
    caller_id: String,
    submitted: Instant,
    metrics: FleetMetrics,
}

impl Ticket {
    /// Submits a request.
    pub(super) fn submit(
        control: UnboundedSender<WorkerMessage>,
        question: PlacementRequest,
        caller_id: &str,
        metrics: FleetMetrics,
    ) -> Self {
        let (tx, verdicts) = unbounded_channel();
        let id = question.record.id;
        let ticket = Self {
            id,
            control,
            verdicts,
            stage: Stage::Waiting,
            runner: None,
            caller_id: caller_id.to_owned(),
            submitted: Instant::now(),
            metrics,
        };
        ticket.tell(WorkerMessage::Submit(Box::new(question), tx));
        ticket
    }

    /// Waits for the next decision; returns `None` if the control thread has
    /// ended.
    pub(super) async fn verdict(&mut self) -> Option<Verdict> {
        let verdict = self.verdicts.recv().await;
        match &verdict {
            Some(Verdict::Dispatch(runner)) => {
                self.stage = Stage::Sent;
                self.runner = Some(runner.key.name.clone());
            }
            Some(Verdict::Refuse(..)) => self.stage = Stage::Closed,
            None => {}
        }
        verdict
    }

    /// Returns the runner that the request was last dispatched to.
    pub(super) fn runner(&self) -> Option<&RunnerName> {
        self.runner.as_ref()
    }

    /// Queues the request again, which the runner is known not to have run.
    pub(super) fn not_run(&mut self, reason: RetryReason) {
        self.stage = Stage::Waiting;
        self.tell(WorkerMessage::NotRun(self.id, reason));
    }

    pub(super) fn first_token(&self) {
        self.tell(WorkerMessage::FirstToken(self.id));
    }

    /// The request ended at its runner.
    pub(super) fn ended(&mut self, end: DispatchEnd) {
        if std::mem::replace(&mut self.stage, Stage::Closed) == Stage::Sent {
            self.tell(WorkerMessage::Ended(self.id, end));
        }
    }

    /// Withdraws the request if it is still waiting.
    pub(super) fn give_up(&mut self) {
        if std::mem::replace(&mut self.stage, Stage::Closed) == Stage::Waiting {
            self.tell(WorkerMessage::Withdraw(self.id));
        }
    }

    /// This incarnation of a runner accepts no more requests.
    pub(super) fn runner_ended(&self, key: &RunnerKey) {
        self.tell(WorkerMessage::RunnerEnded(key.clone()));
    }

    fn tell(&self, message: WorkerMessage) {
        if self.control.send(message).is_err() {
            log::error!("the control thread has ended; request {} goes undecided", self.id);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let stage = match self.stage {
            Stage::Waiting => {
                self.tell(WorkerMessage::Withdraw(self.id));
                "waiting"
            }
            Stage::Sent => {
                self.tell(WorkerMessage::Ended(self.id, DispatchEnd::Cancelled));
                "sent"
            }
            Stage::Closed => return,
        };
        self.metrics.abandoned(stage);
        log_event!(
            Event::RequestAbandoned,
            id = self.caller_id.as_str(),
            stage = stage,
            runner:? = self.runner.as_ref().map(ToString::to_string),
            total_ms = self.submitted.elapsed().as_millis() as u64
        );
    }
}

//! Handle of one request, which connects a traffic thread with the control
//! thread.

use std::time::{Duration, Instant};

use comfreyway_core::{
    fleet::{LimitReport, PlacementRequest, RunnerEntry, RunnerLoad, RunnerNotice},
    ids::{RequestId, RunnerName},
    outcome::{NotRunReason, RetryReason},
    request::DispatchEnd,
};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::{
    events::{Event, Optional, log_event},
    metrics::FleetMetrics,
};

/// A message from a traffic thread to the control thread.
#[derive(Debug)]
pub(super) enum WorkerMessage {
    /// Requests a runner; the decisions are sent to the channel.
    Submit(Box<PlacementRequest>, UnboundedSender<RequestDecision>),
    /// The request was abandoned before it was sent.
    Withdraw(RequestId),
    /// The runner is known not to have run the request; requeues it.
    Requeue(RequestId, RetryReason),
    /// The first token or byte arrived.
    FirstToken(RequestId),
    /// The request ended at its runner.
    Ended(RequestId, DispatchEnd),
    /// A runner said this about itself in a response.
    RunnerNotice(RunnerNotice),
    /// What a response said of its runner's rate limit.
    RunnerLimit(LimitReport),
    /// What a response said of its runner's load.
    RunnerLoad(RunnerName, RunnerLoad),
}

/// The control thread's decision on a request.
#[derive(Debug)]
pub(super) enum RequestDecision {
    /// Send the request to this runner now.
    Dispatch(Box<RunnerEntry>),
    /// Refuse the request; the caller may try again after this time.
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
pub(super) struct RequestHandle {
    id: RequestId,
    control: UnboundedSender<WorkerMessage>,
    decisions: UnboundedReceiver<RequestDecision>,
    stage: Stage,
    runner: Option<RunnerName>,
    /// True if the last attempt went through another host.
    is_forwarded: bool,
    caller_id: String,
    submitted: Instant,
    metrics: FleetMetrics,
}

impl RequestHandle {
    /// Submits a request.
    pub(super) fn submit(
        control: UnboundedSender<WorkerMessage>,
        placement: PlacementRequest,
        caller_id: &str,
        metrics: FleetMetrics,
    ) -> Self {
        let (tx, decisions) = unbounded_channel();
        let id = placement.record.id;
        let handle = Self {
            id,
            control,
            decisions,
            stage: Stage::Waiting,
            runner: None,
            is_forwarded: false,
            caller_id: caller_id.to_owned(),
            submitted: Instant::now(),
            metrics,
        };
        handle.notify(WorkerMessage::Submit(Box::new(placement), tx));
        handle
    }

    /// Waits for the next decision; returns `None` if the control thread has
    /// ended.
    pub(super) async fn next_decision(&mut self) -> Option<RequestDecision> {
        let decision = self.decisions.recv().await;
        match &decision {
            Some(RequestDecision::Dispatch(runner)) => {
                self.stage = Stage::Sent;
                self.runner = Some(runner.key.name.clone());
            }
            Some(RequestDecision::Refuse(..)) => self.stage = Stage::Closed,
            None => {}
        }
        decision
    }

    /// Returns the runner that the request was last dispatched to.
    pub(super) fn runner(&self) -> Option<&RunnerName> {
        self.runner.as_ref()
    }

    /// Requeues the request, which the runner is known not to have run.
    pub(super) fn requeue(&mut self, reason: RetryReason) {
        self.stage = Stage::Waiting;
        self.notify(WorkerMessage::Requeue(self.id, reason));
    }

    /// Reports the first token or byte of the response.
    pub(super) fn first_token(&self) {
        self.notify(WorkerMessage::FirstToken(self.id));
    }

    /// Records whether the last attempt went through another host.
    pub(super) fn set_forwarded(&mut self, is_forwarded: bool) {
        self.is_forwarded = is_forwarded;
    }

    /// Reports that the request ended at its runner. A failure behind another host is no
    /// evidence against the runner.
    pub(super) fn ended(&mut self, end: DispatchEnd) {
        let end = match end {
            DispatchEnd::Failed if self.is_forwarded => DispatchEnd::Cancelled,
            end => end,
        };
        if std::mem::replace(&mut self.stage, Stage::Closed) == Stage::Sent {
            self.notify(WorkerMessage::Ended(self.id, end));
        }
    }

    /// Withdraws the request if it is still waiting.
    pub(super) fn withdraw(&mut self) {
        if std::mem::replace(&mut self.stage, Stage::Closed) == Stage::Waiting {
            self.notify(WorkerMessage::Withdraw(self.id));
        }
    }

    /// Reports what a runner said of its load.
    pub(super) fn runner_load(&self, runner: RunnerName, load: RunnerLoad) {
        self.notify(WorkerMessage::RunnerLoad(runner, load));
    }

    /// Reports what a runner said about itself in a response.
    pub(super) fn runner_notice(&self, notice: RunnerNotice) {
        self.notify(WorkerMessage::RunnerNotice(notice));
    }

    /// Reports what a response said of its runner's rate limit.
    pub(super) fn runner_limit(&self, report: LimitReport) {
        self.notify(WorkerMessage::RunnerLimit(report));
    }

    fn notify(&self, message: WorkerMessage) {
        if self.control.send(message).is_err() {
            log::error!("the control thread has ended; request {} gets no decision", self.id);
        }
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        let stage = match self.stage {
            Stage::Waiting => {
                self.notify(WorkerMessage::Withdraw(self.id));
                "waiting"
            }
            Stage::Sent => {
                self.notify(WorkerMessage::Ended(self.id, DispatchEnd::Cancelled));
                "sent"
            }
            Stage::Closed => return,
        };
        self.metrics.abandoned(stage);
        log_event!(
            Event::RequestAbandoned,
            id = self.caller_id.as_str(),
            stage = stage,
            runner:% = Optional(self.runner.as_ref()),
            total_ms = self.submitted.elapsed().as_millis() as u64
        );
    }
}

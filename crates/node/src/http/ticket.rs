//! Reports what becomes of one request.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix_web::{http::StatusCode, web::Data};
use comfreyway_core::{
    ids::{ClassName, RequestId},
    outcome::{NotRunReason, RetryReason, UnknownReason},
    request::{DispatchEnd, Usage},
};
use comfreyway_proto::result::ResultEnd;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{
    control::{Decision, Progress},
    events::{Event, log_event},
    results::Recording,
    trace::{Trace, TraceRecord, TraceStep},
    upstream::AnswerUsage,
};

use super::{
    admit::Admitted,
    traffic::{RETRY_AFTER, TrafficState},
};

/// Counts a request as in progress while it exists.
pub(super) struct InProgress(Data<TrafficState>);

impl InProgress {
    pub(super) fn new(traffic: &Data<TrafficState>) -> Self {
        traffic.begin();
        Self(traffic.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.end();
    }
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Waiting,
    Dispatched { at: Instant },
    Ended,
}

/// Reports what becomes of one submitted request: to the control thread, to the
/// metrics, and to the recording that repeats read. Each end is reported once.
/// A ticket that is dropped before its end reports that the caller has left.
pub(super) struct Ticket {
    id: RequestId,
    class: ClassName,
    prefill_tokens: u32,
    decisions: UnboundedReceiver<Decision>,
    arrived: Instant,
    has_bytes: bool,
    first_token: Option<Duration>,
    stage: Stage,
    recording: Option<Arc<Recording>>,
    trace: Trace,
    traffic: Data<TrafficState>,
    _in_progress: InProgress,
}

impl Ticket {
    /// The ticket of a request that is being submitted.
    pub(super) fn new(
        id: RequestId,
        admitted: &Admitted,
        decisions: UnboundedReceiver<Decision>,
        recording: Option<Arc<Recording>>,
        traffic: Data<TrafficState>,
        in_progress: InProgress,
    ) -> Self {
        Self {
            id,
            class: admitted.class_name.clone(),
            prefill_tokens: admitted.prompt.prefill_tokens,
            decisions,
            arrived: Instant::now(),
            has_bytes: false,
            first_token: None,
            stage: Stage::Waiting,
            recording,
            trace: traffic.trace.begin(record_of(id, admitted)),
            traffic,
            _in_progress: in_progress,
        }
    }

    pub(super) fn id(&self) -> RequestId {
        self.id
    }

    pub(super) fn traffic(&self) -> &Data<TrafficState> {
        &self.traffic
    }

    pub(super) fn recording(&self) -> Option<&Arc<Recording>> {
        self.recording.as_ref()
    }

    /// The next decision; none if it does not come in time.
    pub(super) async fn next_decision(&mut self, deadline: Instant) -> Option<Decision> {
        let decision =
            tokio::time::timeout_at(deadline.into(), self.decisions.recv()).await.ok().flatten();
        if let Some(Decision::Dispatch { runner, .. }) = &decision {
            self.trace.step(TraceStep::Granted(runner.clone()));
        }
        decision
    }

    /// The request goes out now.
    pub(super) fn dispatched(&mut self) {
        self.trace.step(TraceStep::Dispatched);
        self.traffic.metrics.waited(self.arrived.elapsed());
        self.stage = Stage::Dispatched { at: Instant::now() };
    }

    /// Nothing was sent; the request waits again.
    pub(super) fn not_sent(&mut self, reason: RetryReason) {
        log_event!(Event::RequestRequeued, id:% = self.id, reason = reason.as_str());
        self.trace.step(TraceStep::WaitsAgain(reason));
        self.traffic.metrics.retried(reason);
        self.stage = Stage::Waiting;
        self.report(Progress::NotSent(reason));
    }

    /// Bytes of the answer's body arrived.
    pub(super) fn received(&mut self) {
        if !std::mem::replace(&mut self.has_bytes, true) {
            self.trace.step(TraceStep::FirstByte);
            self.traffic.metrics.first_byte(self.arrived.elapsed());
        }
    }

    /// An event of a stream arrived. An answer in one piece has none: its first
    /// byte tells nothing of its first token.
    pub(super) fn received_event(&mut self) {
        let Stage::Dispatched { at } = self.stage else { return };
        if self.first_token.is_none() {
            self.first_token = Some(at.elapsed());
            self.report(Progress::FirstToken);
        }
    }

    /// The answer is whole. An upstream that says it can't serve has answered
    /// too, but its times say nothing of the runner's speed.
    pub(super) fn answered(&mut self, status: StatusCode, usage: AnswerUsage, events: u32) {
        let Stage::Dispatched { at } = self.stage else { return };
        let total = at.elapsed();
        let usage = Usage {
            prefill_tokens: usage.prefill_tokens.unwrap_or(self.prefill_tokens),
            cached_tokens: usage.cached_tokens,
            decode_tokens: usage.decode_tokens.unwrap_or(events),
            first_token: self.first_token.unwrap_or(total),
            total,
        };
        let end = match status {
            StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT => DispatchEnd::Failed,
            _ => DispatchEnd::Complete(usage),
        };
        self.traffic.metrics.answered(&self.class);
        self.traffic.metrics.whole(self.arrived.elapsed());
        self.end(ResultEnd::Answered);
        self.report(Progress::Ended(end));
    }

    /// The request may have run and its answer is lost.
    pub(super) fn unknown(&mut self, reason: UnknownReason) {
        let dispatched = matches!(self.stage, Stage::Dispatched { .. });
        log_event!(Event::RequestUnknown, id:% = self.id, reason = reason.as_str());
        self.traffic.metrics.unknown(reason);
        self.end(ResultEnd::Unknown(reason));
        if dispatched {
            self.traffic.metrics.wasted_prefill(self.prefill_tokens);
            self.report(Progress::Ended(DispatchEnd::Failed));
        }
    }

    /// The stream was cancelled because the caller left.
    pub(super) fn cancelled(&mut self) {
        log_event!(Event::StreamCancelled, id:% = self.id);
        let reason = UnknownReason::CallerGone;
        self.traffic.metrics.unknown(reason);
        self.traffic.metrics.wasted_prefill(self.prefill_tokens);
        self.end(ResultEnd::Unknown(reason));
        self.report(Progress::Ended(DispatchEnd::Cancelled));
    }

    /// The request was not run by decision.
    pub(super) fn not_run(&mut self, reason: NotRunReason, retry_after: Option<Duration>) {
        log_event!(Event::RequestNotRun, id:% = self.id, reason = reason.as_str());
        self.traffic.metrics.not_run(reason);
        self.end(ResultEnd::NotRun { reason, retry_after });
    }

    /// The worker itself gives the waiting request up. A dispatch that was
    /// decided but not taken up counts as not sent.
    pub(super) fn withdraw(&mut self, reason: NotRunReason, retry_after: Option<Duration>) {
        self.give_up(reason, retry_after, RetryReason::GrantExpired);
    }

    /// The upstream itself says that it ran nothing. The request does not go to
    /// another runner, since its bytes have left this host.
    pub(super) fn turned_away(&mut self, reason: NotRunReason, why: RetryReason) {
        self.give_up(reason, Some(RETRY_AFTER), why);
    }

    /// The runner says that it is leaving.
    pub(super) fn runner_leaving(&self) {
        self.report(Progress::RunnerLeaving);
    }

    fn give_up(&mut self, reason: NotRunReason, retry_after: Option<Duration>, why: RetryReason) {
        self.decisions.close();
        log_event!(Event::RequestNotRun, id:% = self.id, reason = reason.as_str());
        self.traffic.metrics.not_run(reason);
        self.end(ResultEnd::NotRun { reason, retry_after });
        self.report(Progress::NotSent(why));
        self.report(Progress::CallerGone);
    }

    /// The answer comes from an earlier request with the same identity.
    pub(super) fn attached(&mut self) {
        self.trace.step(TraceStep::Repeated);
        self.traffic.metrics.repeated();
        self.stage = Stage::Ended;
    }

    fn end(&mut self, end: ResultEnd) {
        self.trace.step(match &end {
            ResultEnd::Answered => TraceStep::Answered,
            ResultEnd::NotRun { reason, .. } => TraceStep::NotRun(*reason),
            ResultEnd::Unknown(reason) => TraceStep::Unknown(*reason),
        });
        self.stage = Stage::Ended;
        if let Some(recording) = &self.recording {
            recording.finish(end);
            self.traffic.results.mark_finished(self.id);
        }
    }

    fn report(&self, progress: Progress) {
        self.traffic.metrics.reported(&progress);
        if self.traffic.control.report(self.id, progress).is_err() {
            log_event!(Event::ControlThreadEnded, id:% = self.id);
        }
    }
}

/// The record of a request that has just arrived.
fn record_of(id: RequestId, admitted: &Admitted) -> TraceRecord {
    TraceRecord {
        id,
        workspace: admitted.workspace.clone(),
        class: admitted.class_name.clone(),
        target: admitted.class.target,
        pool: admitted.pool.clone(),
        steps: Vec::new(),
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        match self.stage {
            Stage::Waiting => self.withdraw(NotRunReason::CallerGone, None),
            Stage::Dispatched { .. } => self.unknown(UnknownReason::CallerGone),
            Stage::Ended => {}
        }
    }
}

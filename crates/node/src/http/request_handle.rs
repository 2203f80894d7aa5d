//! Reports the outcome of one request.

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
    upstream::ResponseUsage,
};

use super::{
    admit::Admitted,
    traffic::{RETRY_AFTER, TrafficState},
};

/// Counts a request as in progress until dropped.
pub(super) struct InProgress(Data<TrafficState>);

impl InProgress {
    pub(super) fn new(traffic: &Data<TrafficState>) -> Self {
        traffic.request_started();
        Self(traffic.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.request_ended();
    }
}

/// Stage of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Waiting,
    Dispatched { at: Instant },
    Ended,
}

/// Reports what happens to one submitted request to the control thread, the
/// metrics, and the recording that repeats read. Reports exactly one outcome;
/// dropping the handle before that reports that the caller disconnected.
pub(super) struct RequestHandle {
    id: RequestId,
    class: ClassName,
    prefill_tokens: u32,
    decisions: UnboundedReceiver<Decision>,
    arrived: Instant,
    first_byte_received: bool,
    first_token: Option<Duration>,
    stage: Stage,
    recording: Option<Arc<Recording>>,
    trace: Trace,
    traffic: Data<TrafficState>,
    _in_progress: InProgress,
}

impl RequestHandle {
    /// Creates the handle of a request that is about to be submitted.
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
            first_byte_received: false,
            first_token: None,
            stage: Stage::Waiting,
            recording,
            trace: traffic.trace.begin(new_trace_record(id, admitted)),
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

    /// Waits for the next decision. Returns `None` at the deadline.
    pub(super) async fn next_decision(&mut self, deadline: Instant) -> Option<Decision> {
        let decision =
            tokio::time::timeout_at(deadline.into(), self.decisions.recv()).await.ok().flatten();
        if let Some(Decision::Dispatch { runner, .. }) = &decision {
            self.trace.step(TraceStep::Granted(runner.clone()));
        }
        decision
    }

    /// Records that the request is being sent.
    pub(super) fn dispatched(&mut self) {
        self.trace.step(TraceStep::Dispatched);
        self.traffic.metrics.waited(self.arrived.elapsed());
        self.stage = Stage::Dispatched { at: Instant::now() };
    }

    /// Records that nothing was sent and requeues the request.
    pub(super) fn not_sent(&mut self, reason: RetryReason) {
        log_event!(Event::RequestRequeued, id:% = self.id, reason = reason.as_str());
        self.trace.step(TraceStep::Requeued(reason));
        self.traffic.metrics.retried(reason);
        self.stage = Stage::Waiting;
        self.report(Progress::NotSent(reason));
    }

    /// Records that bytes of the response body arrived.
    pub(super) fn bytes_received(&mut self) {
        if !std::mem::replace(&mut self.first_byte_received, true) {
            self.trace.step(TraceStep::FirstByte);
            self.traffic.metrics.first_byte(self.arrived.elapsed());
        }
    }

    /// Records that an event of a stream arrived. Not called for other
    /// responses: the arrival of their first byte says nothing about the first
    /// token.
    pub(super) fn event_received(&mut self) {
        let Stage::Dispatched { at } = self.stage else { return };
        if self.first_token.is_none() {
            self.first_token = Some(at.elapsed());
            self.report(Progress::FirstToken);
        }
    }

    /// Records that the response is complete. A 502, 503 or 504 from the
    /// upstream is a response too, but its times say nothing about the runner's
    /// speed, so the dispatch counts as failed.
    pub(super) fn answered(&mut self, status: StatusCode, usage: ResponseUsage, events: u32) {
        let Stage::Dispatched { at } = self.stage else { return };
        let total = at.elapsed();
        let usage = Usage {
            prefill_tokens: usage.prefill_tokens.unwrap_or(self.prefill_tokens),
            cached_tokens: usage.cached_tokens,
            decode_tokens: usage.decode_tokens.unwrap_or(events),
            first_token: self.first_token.unwrap_or(total),
            total,
            until_close: false,
            failed: false,
        };
        let end = match status {
            StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT => DispatchEnd::Failed,
            _ => DispatchEnd::Complete(usage),
        };
        self.traffic.metrics.answered(&self.class);
        self.traffic.metrics.response_time(self.arrived.elapsed());
        self.end(ResultEnd::Answered);
        self.report(Progress::Ended(end));
    }

    /// Records that the request may have run and its response is lost.
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

    /// Records that the request was cancelled because the caller disconnected.
    pub(super) fn cancelled(&mut self) {
        log_event!(Event::StreamCancelled, id:% = self.id);
        let reason = UnknownReason::CallerGone;
        self.traffic.metrics.unknown(reason);
        self.traffic.metrics.wasted_prefill(self.prefill_tokens);
        self.end(ResultEnd::Unknown(reason));
        self.report(Progress::Ended(DispatchEnd::Cancelled));
    }

    /// Records the decision not to run the request.
    pub(super) fn not_run(&mut self, reason: NotRunReason, retry_after: Option<Duration>) {
        log_event!(Event::RequestNotRun, id:% = self.id, reason = reason.as_str());
        self.traffic.metrics.not_run(reason);
        self.end(ResultEnd::NotRun { reason, retry_after });
    }

    /// Withdraws a queued request on behalf of the worker. A dispatch decision
    /// that was not executed yet counts as not sent.
    pub(super) fn withdraw(&mut self, reason: NotRunReason, retry_after: Option<Duration>) {
        self.end_not_sent(reason, retry_after, RetryReason::GrantExpired);
    }

    /// Records that the upstream declared that it did not run the request. The
    /// request is not requeued, because its bytes have left this host.
    pub(super) fn turned_away(&mut self, reason: NotRunReason, retry_reason: RetryReason) {
        self.end_not_sent(reason, Some(RETRY_AFTER), retry_reason);
    }

    /// Reports that the runner is draining.
    pub(super) fn runner_leaving(&self) {
        self.report(Progress::RunnerLeaving);
    }

    fn end_not_sent(
        &mut self,
        reason: NotRunReason,
        retry_after: Option<Duration>,
        retry_reason: RetryReason,
    ) {
        self.decisions.close();
        log_event!(Event::RequestNotRun, id:% = self.id, reason = reason.as_str());
        self.traffic.metrics.not_run(reason);
        self.end(ResultEnd::NotRun { reason, retry_after });
        self.report(Progress::NotSent(retry_reason));
        self.report(Progress::CallerGone);
    }

    /// Records that the response comes from an earlier request with the same
    /// idempotency key.
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

/// Creates the trace record of a request that has just arrived.
fn new_trace_record(id: RequestId, admitted: &Admitted) -> TraceRecord {
    TraceRecord {
        id,
        workspace: admitted.workspace.clone(),
        class: admitted.class_name.clone(),
        target: admitted.class.target,
        pool: admitted.pool.clone(),
        steps: Vec::new(),
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        match self.stage {
            Stage::Waiting => self.withdraw(NotRunReason::CallerGone, None),
            Stage::Dispatched { .. } => self.unknown(UnknownReason::CallerGone),
            Stage::Ended => {}
        }
    }
}

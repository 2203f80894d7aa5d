//! Open requests of the client hosts, with their charges to quotas and retry
//! budgets.

use std::time::Duration;

use crate::{
    fleet::{
        DispatchFailure, PlacementReply, PlacementRequest, RunnerVersion, StreamBinding,
        StreamRecord, SuspectList, SuspectState,
    },
    ids::{HostId, RequestId, RunnerName, UpstreamName, WorkspaceName},
    outcome::{NotRunReason, RetryReason},
    request::RequestRecord,
    time::MonoTime,
};

use super::{
    Coordinator,
    trials::{Admission, QUARANTINE_RETRY_AFTER},
};

/// Retry-after time of a request that is refused for lack of retry budget.
const BUDGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A client host's open request, in addition to what the scheduler stores.
#[derive(Clone, Debug)]
pub(super) struct HostRequest {
    pub(super) host: HostId,
    pub(super) upstream: UpstreamName,
    pub(super) workspace: WorkspaceName,
    pub(super) cost: f64,
    /// When the quota was charged; none for a retry or an adopted request.
    pub(super) charged: Option<MonoTime>,
    pub(super) granted: bool,
    /// True while the quota holds a reservation for the request.
    pub(super) reserved: bool,
    pub(super) stream: Option<StreamBinding>,
    /// What it may crash its runner with.
    pub(super) suspects: SuspectList,
    /// The runner it was granted, and when; zero if by another coordinator.
    pub(super) dispatch: Option<(RunnerName, MonoTime)>,
    /// When its first token or byte was reported.
    pub(super) begun_at: Option<MonoTime>,
    /// True while it waits until another request has tried one of its suspects.
    pub(super) held: bool,
    pub(super) retry: Retry,
}

/// Whether the next or present arrival of a request is a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Retry {
    /// It is the first.
    No,
    /// It has a token of the budget and waits for a runner.
    Waiting,
    /// It was granted a runner.
    Sent,
}

impl HostRequest {
    /// Returns the version of its stream, of which the first event has arrived.
    pub(super) fn stream_record(&self) -> Option<StreamRecord> {
        let stream = self.stream.as_ref()?;
        Some(StreamRecord {
            id: stream.id,
            upstream: self.upstream.clone(),
            version: stream.version.clone(),
            age: Duration::ZERO,
            retention: stream.retention,
        })
    }
}

impl Coordinator {
    pub(super) fn submit(
        &mut self,
        now: MonoTime,
        host: &HostId,
        req: PlacementRequest,
        version: Option<RunnerVersion>,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        let suspects = req.suspects();
        let is_retry = req.is_retry();
        let PlacementRequest {
            record,
            upstream,
            cost,
            time_limit,
            prior_attempts,
            resubmitted,
            avoid,
            stream,
            ..
        } = req;
        let (id, share) = (record.id, self.basis.budget_share());
        if self.open.contains_key(&id) {
            return;
        }
        let admission = match self.admit_suspects(now, &upstream, &suspects) {
            Ok(admission) => admission,
            Err(reason) => {
                let refusal = PlacementReply::Refuse(id, reason, QUARANTINE_RETRY_AFTER);
                out.push((host.clone(), refusal));
                return;
            }
        };
        if is_retry && !self.budget(now, &upstream).take(now, share) {
            let reason = NotRunReason::TurnedAway;
            out.push((host.clone(), PlacementReply::Refuse(id, reason, BUDGET_RETRY_AFTER)));
            return;
        }
        if prior_attempts == 0 {
            let quota = self.quota(&record.workspace);
            if let Err(wait) = self.quotas.take(now, &record.workspace, quota, cost) {
                if is_retry {
                    self.budget(now, &upstream).release(share);
                }
                out.push((host.clone(), PlacementReply::Refuse(id, NotRunReason::OverQuota, wait)));
                return;
            }
        }
        // The first coordinator of a request counts it.
        if !is_retry && !resubmitted {
            self.budget(now, &upstream).deposit(share);
        }
        self.record_open(host, &upstream, &record, cost, false);
        if let Some(open) = self.open.get_mut(&id) {
            open.stream = stream;
            open.suspects = suspects;
            open.held = admission == Admission::Hold;
            open.retry = if is_retry { Retry::Waiting } else { Retry::No };
            if prior_attempts == 0 {
                open.reserved = true;
                open.charged = Some(now);
            }
        }
        self.join_trials(id);
        let time_left = time_limit.saturating_sub(record.age);
        // This coordinator may know no runner of it yet.
        self.upstream_state(&upstream);
        self.step(now, &upstream, out, |scheduler, decisions| match admission {
            Admission::Start => {
                scheduler.submit_at_version(now, record, time_left, avoid, version, decisions);
            }
            Admission::Hold => {
                scheduler.submit_held(now, record, time_left, avoid, version, decisions);
            }
        });
    }

    pub(super) fn requeue(
        &mut self,
        now: MonoTime,
        host: &HostId,
        id: RequestId,
        reason: RetryReason,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        let share = self.basis.budget_share();
        let Some(open) = self.open.get_mut(&id) else { return };
        open.granted = false;
        let upstream = open.upstream.clone();
        let failure = match reason {
            RetryReason::TurnedAway => Some(DispatchFailure::Full),
            RetryReason::ConnectRefused | RetryReason::ConnectTimeout => {
                Some(DispatchFailure::Broken)
            }
            _ => None,
        };
        let open = self.open.get(&id);
        let state = open.map(|open| self.quarantine.state_of(&open.suspects));
        if state == Some(SuspectState::Quarantined) {
            self.refuse_quarantined(now, id, out);
            return;
        }
        // Only an attempt that arrived at a runner counts as a retry.
        if reason.has_arrived() && !self.budget(now, &upstream).take(now, share) {
            self.remove_open(now, id);
            let not_run = NotRunReason::TurnedAway;
            out.push((host.clone(), PlacementReply::Refuse(id, not_run, BUDGET_RETRY_AFTER)));
            self.step(now, &upstream, out, |scheduler, decisions| {
                scheduler.discard(now, id, failure, decisions);
            });
            return;
        }
        let Some(open) = self.open.get_mut(&id) else { return };
        let was_retry = open.retry == Retry::Sent;
        if reason.has_arrived() || was_retry {
            open.retry = Retry::Waiting;
        }
        if was_retry && !reason.has_arrived() {
            self.budget(now, &upstream).wait_again();
        }
        let is_held = self.hold_for_trial(id);
        self.step(now, &upstream, out, |scheduler, decisions| match is_held {
            true => scheduler.requeue_held(now, id, failure, decisions),
            false => scheduler.requeue(now, id, failure, decisions),
        });
    }

    pub(super) fn record_open(
        &mut self,
        host: &HostId,
        upstream: &UpstreamName,
        record: &RequestRecord,
        cost: f64,
        granted: bool,
    ) {
        let (host, upstream) = (host.clone(), upstream.clone());
        let workspace = record.workspace.clone();
        let open = HostRequest {
            host,
            upstream,
            workspace,
            cost,
            charged: None,
            granted,
            reserved: false,
            stream: None,
            suspects: SuspectList::default(),
            dispatch: None,
            begun_at: None,
            held: false,
            retry: Retry::No,
        };
        self.open.insert(record.id, open);
    }

    /// Removes a request. Refunds its quota if it was not granted.
    pub(super) fn remove_open(&mut self, now: MonoTime, id: RequestId) -> Option<HostRequest> {
        let open = self.open.remove(&id)?;
        if open.reserved {
            self.quotas.release(now, &open.workspace, open.cost);
        }
        if open.retry == Retry::Waiting {
            let share = self.basis.budget_share();
            self.budget(now, &open.upstream).release(share);
        }
        if let Some(charged) = open.charged.filter(|_| !open.granted) {
            self.quotas.refund(now, &open.workspace, open.cost, charged);
        }
        Some(open)
    }
}

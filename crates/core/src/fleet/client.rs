//! The requests of one host and the coordinator it uses for them.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{HostId, RequestId, RunnerName},
    outcome::{NotRunReason, RetryReason},
    request::DispatchEnd,
    time::MonoTime,
};

use super::{
    Coordinator, PlacementReply, PlacementRequest, RequestUpdate, RunnerVersion, StreamRecord,
    Suspect, coordinator::QUARANTINE_RETRY_AFTER,
};

/// Retry-after time of a request that goes on with a stream and was granted by a
/// coordinator that does not look at versions.
const UNBOUND_RETRY_AFTER: Duration = Duration::from_millis(500);

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientAction {
    /// Send an update to a coordinator; `None` is the host's own.
    Send(Option<HostId>, RequestUpdate),
    /// Send the request to this runner now, if it has this software version.
    Dispatch(RequestId, RunnerName, Option<RunnerVersion>),
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
        for (id, open) in &mut self.open {
            open.req.resubmitted = true;
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
        open.req.rejections += u32::from(reason.has_arrived());
        out.push(ClientAction::Send(self.coordinator.clone(), RequestUpdate::Requeue(id, reason)));
    }

    /// Records the version of the runner that a request was dispatched to.
    pub fn dispatched(&mut self, id: RequestId, version: Option<RunnerVersion>) {
        let stream = self.open.get_mut(&id).and_then(|open| open.req.stream.as_mut());
        if let Some(stream) = stream {
            stream.version = version;
        }
    }

    /// Returns the version of the stream that a request has begun or goes on with.
    #[must_use]
    pub fn stream_record(&self, id: RequestId) -> Option<StreamRecord> {
        let req = &self.open.get(&id)?.req;
        let stream = req.stream.as_ref()?;
        Some(StreamRecord {
            id: stream.id,
            upstream: req.upstream.clone(),
            version: stream.version.clone(),
            age: Duration::ZERO,
            retention: stream.retention,
        })
    }

    /// Returns why a request is refused if this host's own coordinator knows it as
    /// quarantined.
    #[must_use]
    pub fn quarantine_refusal(&self, id: RequestId, known: &Coordinator) -> Option<NotRunReason> {
        known.quarantine().refusal(&self.suspects(id))
    }

    /// Refuses a request that was granted and is quarantined.
    pub fn refuse_quarantined(
        &mut self,
        id: RequestId,
        reason: NotRunReason,
        out: &mut Vec<ClientAction>,
    ) {
        self.withdraw(id, out);
        out.push(ClientAction::Refuse(id, reason, QUARANTINE_RETRY_AFTER));
    }

    /// Returns what a request may crash its runner with.
    #[must_use]
    pub fn suspects(&self, id: RequestId) -> Vec<Suspect> {
        self.open.get(&id).map(|open| open.req.suspects()).unwrap_or_default()
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
            PlacementReply::Grant(id, runner, version) => match self.open.get_mut(&id) {
                Some(open) if matches!(open.stage, Stage::Waiting) => {
                    if !open.accepts_version(version.as_ref()) {
                        // Coordinators of earlier versions ignore the stream.
                        self.open.remove(&id);
                        let withdraw = RequestUpdate::Withdraw(id);
                        out.push(ClientAction::Send(from.cloned(), withdraw));
                        let reason = NotRunReason::VersionUnknown;
                        out.push(ClientAction::Refuse(id, reason, UNBOUND_RETRY_AFTER));
                        return;
                    }
                    if let Some(stream) = &mut open.req.stream {
                        stream.version.clone_from(&version);
                    }
                    open.stage = Stage::Dispatched(runner.clone());
                    out.push(ClientAction::Dispatch(id, runner, version));
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
    /// Returns true if a runner of this version may run the request.
    fn accepts_version(&self, version: Option<&RunnerVersion>) -> bool {
        let Some(stream) = self.req.stream.as_ref().filter(|stream| !stream.begins) else {
            return true;
        };
        version.is_some() && (stream.version.is_none() || stream.version.as_ref() == version)
    }

    fn to_update(&self, now: MonoTime) -> RequestUpdate {
        let mut req = self.req.clone();
        req.record.age += now.since(self.submitted_at);
        match &self.stage {
            Stage::Waiting => RequestUpdate::Submit(Box::new(req)),
            Stage::Dispatched(runner) => RequestUpdate::Adopt(Box::new(req), runner.clone()),
        }
    }
}

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
    SuspectList, coordinator::QUARANTINE_RETRY_AFTER,
};

mod link;

pub use self::link::EndedSession;

use self::link::{Link, SessionId};

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

/// Tracks the open requests of one host, and the coordinator that places them: the host's
/// own, or that of another host to which it has a session. `S` is the sending side of a
/// session.
///
/// The session is part of this state, so a host can't report its requests to a coordinator
/// that it has no session with. Whatever ends a session goes through
/// [`end_session`](Self::end_session), which submits the open requests again.
///
/// # Examples
///
/// ```
/// use comfreyway_core::{fleet::CoordinatorClient, ids::HostId, time::MonoTime};
///
/// let (now, mut out) = (MonoTime::ZERO, Vec::new());
/// let other = HostId { name: "h2".parse().unwrap(), incarnation: 1 };
/// let mut client = CoordinatorClient::default();
/// let session = client.dial(now, other.clone(), &mut out);
/// assert!(client.session_opened(session, "queue"));
/// // The other host has not responded yet.
/// assert_eq!(client.coordinator(), None);
/// assert!(client.use_session(now, &mut out));
/// assert_eq!(client.coordinator(), Some(&other));
/// client.session_failed();
/// assert_eq!(client.session(), None);
/// assert!(client.end_session(now, &mut out).is_some_and(|ended| ended.was_used));
/// assert_eq!(client.coordinator(), None);
/// ```
#[derive(Clone, Debug)]
pub struct CoordinatorClient<S = ()> {
    open: BTreeMap<RequestId, OpenRequest>,
    link: Link<S>,
    /// Number of sessions that were dialed.
    sessions: u64,
}

impl<S> Default for CoordinatorClient<S> {
    fn default() -> Self {
        Self { open: BTreeMap::new(), link: Link::Own, sessions: 0 }
    }
}

impl<S> CoordinatorClient<S> {
    /// Returns the current coordinator; `None` is the host's own.
    #[must_use]
    pub fn coordinator(&self) -> Option<&HostId> {
        self.link.coordinator()
    }

    /// Returns the host to which a session is open or being opened.
    #[must_use]
    pub fn session_host(&self) -> Option<&HostId> {
        self.link.id().map(|id| &id.host)
    }

    /// Returns true if this is the number of the current session.
    #[must_use]
    pub fn is_current(&self, session: u64) -> bool {
        self.link.id().is_some_and(|id| id.number == session)
    }

    /// Returns the session, once it is open and until it fails.
    #[must_use]
    pub fn session(&self) -> Option<&S> {
        match &self.link {
            Link::Connected(_, session) | Link::Used(_, session) => Some(session),
            Link::Own | Link::Dialed(_) | Link::Failed(..) => None,
        }
    }

    /// Returns the session, mutably.
    pub fn session_mut(&mut self) -> Option<&mut S> {
        match &mut self.link {
            Link::Connected(_, session) | Link::Used(_, session) => Some(session),
            Link::Own | Link::Dialed(_) | Link::Failed(..) => None,
        }
    }

    /// Returns true if the session takes no messages and has not been ended.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        matches!(self.link, Link::Failed(..))
    }

    /// Returns the number of requests that have neither ended nor been refused.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Ends the current session and begins to open one to this host. Returns its number.
    pub fn dial(&mut self, now: MonoTime, host: HostId, out: &mut Vec<ClientAction>) -> u64 {
        self.end_session(now, out);
        self.sessions += 1;
        self.link = Link::Dialed(SessionId { number: self.sessions, host });
        self.sessions
    }

    /// Records that a dialed session is open. Returns false if it isn't the current one.
    pub fn session_opened(&mut self, number: u64, session: S) -> bool {
        match &self.link {
            Link::Dialed(id) if id.number == number => {
                self.link = Link::Connected(id.clone(), session);
                true
            }
            _ => false,
        }
    }

    /// Uses the coordinator to which a session is open, and reports every open request to
    /// it. Returns false if there is no such session, or it is used already.
    pub fn use_session(&mut self, now: MonoTime, out: &mut Vec<ClientAction>) -> bool {
        match std::mem::replace(&mut self.link, Link::Own) {
            Link::Connected(id, session) => {
                let host = id.host.clone();
                self.link = Link::Used(id, session);
                self.report_requests(now, None, Some(&host), out);
                true
            }
            other => {
                self.link = other;
                false
            }
        }
    }

    /// Records that the session takes no more messages. Requests that are reported before
    /// the session is ended reach no coordinator.
    pub fn session_failed(&mut self) {
        self.link = match std::mem::replace(&mut self.link, Link::Own) {
            Link::Used(id, _) => Link::Failed(id, true),
            Link::Dialed(id) | Link::Connected(id, _) => Link::Failed(id, false),
            link @ (Link::Own | Link::Failed(..)) => link,
        };
    }

    /// Ends the session, if there is one: the host's own coordinator places its requests
    /// again, also those that were reported on the session.
    pub fn end_session(
        &mut self,
        now: MonoTime,
        out: &mut Vec<ClientAction>,
    ) -> Option<EndedSession> {
        let was_used = self.coordinator().is_some();
        let link = std::mem::replace(&mut self.link, Link::Own);
        let host = link.id()?.host.clone();
        if was_used {
            self.report_requests(now, Some(&host), None, out);
        }
        Some(EndedSession { host, was_used })
    }

    /// Reports every open request to another coordinator.
    fn report_requests(
        &mut self,
        now: MonoTime,
        former: Option<&HostId>,
        coordinator: Option<&HostId>,
        out: &mut Vec<ClientAction>,
    ) {
        for (id, open) in &mut self.open {
            open.req.resubmitted = true;
            // The former coordinator may still be up and must not grant.
            out.push(ClientAction::Send(former.cloned(), RequestUpdate::Withdraw(*id)));
            out.push(ClientAction::Send(coordinator.cloned(), open.to_update(now)));
        }
    }

    /// Submits a request that needs a runner.
    pub fn submit(&mut self, now: MonoTime, req: PlacementRequest, out: &mut Vec<ClientAction>) {
        let id = req.record.id;
        let open = OpenRequest { req, submitted_at: now, stage: Stage::Waiting };
        let update = open.to_update(now);
        self.open.insert(id, open);
        out.push(ClientAction::Send(self.coordinator().cloned(), update));
    }

    /// Withdraws a request whose caller disconnected or whose time limit ended
    /// before its dispatch.
    pub fn withdraw(&mut self, id: RequestId, out: &mut Vec<ClientAction>) {
        if self.open.remove(&id).is_some() {
            out.push(ClientAction::Send(self.coordinator().cloned(), RequestUpdate::Withdraw(id)));
        }
    }

    /// Requeues a request that the runner is known not to have run.
    pub fn requeue(&mut self, id: RequestId, reason: RetryReason, out: &mut Vec<ClientAction>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.stage = Stage::Waiting;
        open.req.rejections += u32::from(reason.has_arrived());
        out.push(ClientAction::Send(
            self.coordinator().cloned(),
            RequestUpdate::Requeue(id, reason),
        ));
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
    pub fn suspects(&self, id: RequestId) -> SuspectList {
        self.open.get(&id).map(|open| open.req.suspects()).unwrap_or_default()
    }

    /// Reports that the first token or byte of the response arrived.
    pub fn first_token(&mut self, id: RequestId, out: &mut Vec<ClientAction>) {
        if self.open.contains_key(&id) {
            out.push(ClientAction::Send(
                self.coordinator().cloned(),
                RequestUpdate::FirstToken(id),
            ));
        }
    }

    /// Reports that a request ended at its runner.
    pub fn ended(&mut self, id: RequestId, end: DispatchEnd, out: &mut Vec<ClientAction>) {
        if self.open.remove(&id).is_some() {
            out.push(ClientAction::Send(
                self.coordinator().cloned(),
                RequestUpdate::Ended(id, end),
            ));
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
        if from != self.coordinator() {
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

//! A host's control actor whose sessions, store and callers are played by a test.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use comfreyway_core::{
    fleet::{
        CallerMemoryLimits, Coordinator, Member, PlacementReply, PlacementRequest, QuotaTolerance,
        RetryBudgetLimits,
    },
    ids::{HostId, RequestId, Tier},
    outcome::NotRunReason,
    request::{RequestRecord, Target},
};
use comfreyway_platform::{Changes, LeaseId, Listing, Page, Revision, Store, StoreError};
use futures_util::future::{LocalBoxFuture, pending};
use tokio::sync::mpsc::{Receiver, UnboundedReceiver, channel, unbounded_channel};

use crate::{
    control::Clock,
    fleet::{
        control::{EventReceivers, EventSenders, FleetControl},
        host_state::HostState,
        platform_format::{HeaderNames, PlatformFormat, RecordError, StoreKeys},
        request_handle::{RequestDecision, WorkerMessage},
        sessions::{SessionEnd, SessionEvent},
        wire::{Frame, PROTOCOL, ToCoordinator, ToHost},
    },
    metrics::Metrics,
};

/// Other hosts of the fleet.
pub(super) const OTHERS: usize = 3;

/// Messages that the queue of a session holds.
pub(super) const QUEUED_MESSAGES: usize = 6;

/// A session that the actor has dialed.
pub(super) struct Session {
    host: HostId,
    is_open: bool,
    /// Messages of the actor; none before the session is open and after it has ended.
    pub(super) queue: Option<Receiver<ToCoordinator>>,
}

pub(super) struct Host {
    pub(super) control: FleetControl,
    /// Sessions in the order in which they were dialed, numbered from one.
    pub(super) sessions: Vec<Session>,
    /// What the other hosts have read, with the index of the session.
    pub(super) sessions_sent: Vec<(usize, ToCoordinator)>,
    /// Requests without a final decision.
    pub(super) open: BTreeMap<RequestId, UnboundedReceiver<RequestDecision>>,
    submitted: u128,
    clients: Vec<(HostId, u64, Receiver<Frame>)>,
}

impl Host {
    /// Creates a host that knows no other one yet.
    pub(super) fn new(wins_election: bool) -> Self {
        let limits = CallerMemoryLimits::of_process(160 << 20, 4_096);
        let retry = RetryBudgetLimits { ratio: 0.2, slack: 2.0, window_s: 10.0 };
        let ((_, workers), (sessions, session_rx), (store, store_rx), (rollouts, rollout_rx)) =
            (unbounded_channel(), unbounded_channel(), unbounded_channel(), unbounded_channel());
        let receivers = EventReceivers {
            workers,
            sessions: session_rx,
            store: store_rx,
            rollouts: rollout_rx,
            senders: EventSenders { store, sessions, rollouts },
        };
        let mut control = FleetControl::new(
            member("me", if wins_election { 1 } else { 9 }),
            FORMAT,
            Arc::new(HostState::new(Clock::new(), limits)),
            Rc::new(SilentStore),
            Coordinator::new(retry, QuotaTolerance::default()),
            Metrics::new().unwrap().fleet(|| Duration::ZERO),
            receivers,
        );
        control.end_session();
        Self {
            control,
            sessions: Vec::new(),
            sessions_sent: Vec::new(),
            open: BTreeMap::new(),
            submitted: 0,
            clients: Vec::new(),
        }
    }

    pub(super) fn open_ids(&self) -> BTreeSet<RequestId> {
        self.open.keys().copied().collect()
    }

    /// Returns the index of the current session, after adding those that the actor has
    /// dialed since.
    pub(super) fn current_session(&mut self) -> Option<usize> {
        let client = &self.control.coordinator_client;
        let host = client.session_host()?.clone();
        // Each call of the actor may dial once; later numbers are those of later sessions.
        let number = (1..).find(|number| client.is_current(*number))?;
        while self.sessions.len() < number as usize {
            let session = Session { host: host.clone(), is_open: false, queue: None };
            self.sessions.push(session);
        }
        Some(number as usize - 1)
    }

    pub(super) fn submit(&mut self) {
        self.submitted += 1;
        let (tx, rx) = unbounded_channel();
        let req = placement_request(self.submitted, &self.control.me.id);
        self.open.insert(req.record.id, rx);
        self.control.handle_worker_message(WorkerMessage::Submit(Box::new(req), tx));
    }

    pub(super) fn withdraw(&mut self) {
        if let Some((id, _)) = self.open.pop_first() {
            self.control.handle_worker_message(WorkerMessage::Withdraw(id));
        }
    }

    /// Forgets the requests that have been refused.
    pub(super) fn read_decisions(&mut self) {
        self.current_session();
        self.open.retain(|_, rx| !matches!(rx.try_recv(), Ok(RequestDecision::Refuse(..))));
    }

    pub(super) fn drain(&mut self, session: usize) {
        let Some(queue) = self.sessions.get_mut(session).and_then(|s| s.queue.as_mut()) else {
            return;
        };
        while let Ok(message) = queue.try_recv() {
            self.sessions_sent.push((session, message));
        }
    }

    pub(super) fn open_session(&mut self) {
        let Some(current) = self.current_session() else { return };
        let session = &mut self.sessions[current];
        if std::mem::replace(&mut session.is_open, true) {
            return;
        }
        let (tx, rx) = channel(QUEUED_MESSAGES);
        session.queue = Some(rx);
        let event = SessionEvent::CoordinatorUp(session.host.clone(), current as u64 + 1, tx);
        self.control.handle_session_event(event);
    }

    /// Delivers a message on a session that is or was open.
    pub(super) fn receive(&mut self, session: usize, message: ToHost) {
        let Some(Session { host, is_open: true, .. }) = self.sessions.get(session) else { return };
        let event = SessionEvent::FromCoordinator(host.clone(), session as u64 + 1, message);
        self.control.handle_session_event(event);
    }

    /// Refuses the latest request.
    pub(super) fn reject(&mut self, session: usize) {
        let (reason, retry_after) = (NotRunReason::Shed, Duration::ZERO);
        let reply = PlacementReply::Refuse(RequestId::new(self.submitted), reason, retry_after);
        self.receive(session, ToHost::Reply(reply));
    }

    pub(super) fn session_down(&mut self, session: usize, end: SessionEnd) {
        let Some(ended) = self.sessions.get_mut(session) else { return };
        (ended.is_open, ended.queue) = (true, None);
        let event = SessionEvent::CoordinatorDown(ended.host.clone(), session as u64 + 1, end);
        self.control.handle_session_event(event);
    }

    pub(super) fn probed(&mut self, other: usize, responds: bool) {
        self.control.handle_session_event(SessionEvent::Probed(other_member(other).id, responds));
    }

    pub(super) fn client_up(&mut self, other: usize) {
        let (tx, rx) = channel(QUEUED_MESSAGES);
        let (host, session) = (other_member(other).id, self.clients.len() as u64);
        self.clients.push((host.clone(), session, rx));
        let event = SessionEvent::HostUp(host, session, tx, PROTOCOL);
        self.control.handle_session_event(event);
    }

    pub(super) fn client_down(&mut self, other: usize) {
        let host = other_member(other).id;
        if let Some(at) = self.clients.iter().position(|(client, ..)| *client == host) {
            let (host, session, _) = self.clients.remove(at);
            self.control.handle_session_event(SessionEvent::HostDown(host, session));
        }
    }

    /// Receives a ping on the latest session of a client.
    pub(super) fn ping_from_client(&mut self) {
        let Some((host, session, _)) = self.clients.last() else { return };
        let event = SessionEvent::FromHost(host.clone(), *session, ToCoordinator::Ping(0));
        self.control.handle_session_event(event);
    }

    /// Reads what is queued on the latest session of a client. Returns true if the actor has
    /// closed it.
    pub(super) fn is_client_session_closed(&mut self) -> bool {
        let Some((.., queue)) = self.clients.last_mut() else { return true };
        while queue.try_recv().is_ok() {}
        queue.is_closed()
    }

    pub(super) fn list(&mut self, other: usize) {
        let member = other_member(other);
        self.control.members.insert(member.id.name.clone(), member);
        self.control.members_changed();
    }

    pub(super) fn unlist(&mut self, other: usize) {
        self.control.members.remove(&other_member(other).id.name);
        self.control.members_changed();
    }

    pub(super) fn step_down(&mut self) {
        let now = self.control.now();
        let me = self.control.me.id.clone();
        self.control.search.leave_out(me, now + Duration::from_secs(4));
        self.control.notify_not_coordinator();
        self.control.choose_coordinator();
    }
}

fn member(name: &str, incarnation: u64) -> Member {
    Member {
        id: HostId { name: name.parse().unwrap(), incarnation },
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        token: 0,
        millicores: 1_000,
        forward: None,
    }
}

fn other_member(number: usize) -> Member {
    member(&format!("h{number}"), 2 + number as u64)
}

fn placement_request(number: u128, entry: &HostId) -> PlacementRequest {
    let time_limit = Duration::from_secs(60);
    PlacementRequest {
        record: RequestRecord {
            id: RequestId::new(number),
            entry: entry.clone(),
            workspace: "desk".parse().unwrap(),
            class: "lookup".parse().unwrap(),
            tier: Tier(1),
            target: Target::Whole(time_limit),
            age: Duration::ZERO,
            prefill_tokens: 0,
            max_decode_tokens: None,
            prefix: Vec::new(),
            prefix_tokens: Vec::new(),
            length_hint: None,
            body_bytes: 0,
        },
        upstream: "survey".parse().unwrap(),
        cost: 0.0,
        time_limit,
        prior_attempts: 0,
        rejections: 0,
        resubmitted: false,
        avoid: None,
        stream: None,
        parts: Vec::new(),
        digest: None,
    }
}

/// A store that answers no call.
struct SilentStore;

impl Store for SilentStore {
    fn era(&self) -> u64 {
        0
    }

    fn list<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, Result<Listing, StoreError>> {
        Box::pin(pending())
    }

    fn page<'a>(
        &'a self,
        _: &'a str,
        _: Option<&'a str>,
    ) -> LocalBoxFuture<'a, Result<Page, StoreError>> {
        Box::pin(pending())
    }

    fn watch<'a>(
        &'a self,
        _: &'a str,
        _: Revision,
        _: Duration,
    ) -> LocalBoxFuture<'a, Result<Changes, StoreError>> {
        Box::pin(pending())
    }

    fn put<'a>(
        &'a self,
        _: &'a str,
        _: Vec<u8>,
        _: Option<LeaseId>,
    ) -> LocalBoxFuture<'a, Result<Revision, StoreError>> {
        Box::pin(pending())
    }

    fn put_if<'a>(
        &'a self,
        _: &'a str,
        _: Revision,
        _: Vec<u8>,
    ) -> LocalBoxFuture<'a, Result<Option<Revision>, StoreError>> {
        Box::pin(pending())
    }

    fn grant_lease(&self, _: Duration) -> LocalBoxFuture<'_, Result<LeaseId, StoreError>> {
        Box::pin(pending())
    }

    fn renew_lease(&self, _: LeaseId) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        Box::pin(pending())
    }

    fn revoke_lease(&self, _: LeaseId) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        Box::pin(pending())
    }
}

fn unreadable() -> RecordError {
    RecordError::Unreadable("no record is read in these tests".to_owned())
}

const FORMAT: PlatformFormat = PlatformFormat {
    headers: HeaderNames {
        request_id: "x-id",
        deadline_ms: "x-deadline",
        token_usage: "x-usage",
        prompt_parts: "x-parts",
        api_key: "x-key",
        workspace: "x-workspace",
        expected_runner: "x-expected",
        signature: "x-signature",
        not_executed: "x-not-executed",
        leaving: "x-leaving",
        limit: "x-limit",
        load: "x-load",
        length_hint: "x-length",
        last_event_id: "x-last-event",
        resumes: "x-resumes",
        host_only: &[],
    },
    keys: StoreKeys {
        config: "config",
        runners: "runners/",
        members: "hosts/",
        versions: "versions",
        streams: "streams/",
        quarantine: "quarantine/",
        rollout_orders: "orders/",
        rollout_statuses: "statuses/",
        rollouts: "rollouts/",
    },
    read_config: |_, _| Err(unreadable()),
    read_runner: |_, _| Err(unreadable()),
    read_usage: |_| None,
    read_limit: |_| None,
    read_rollout: |_, _, _| Err(unreadable()),
    read_rollout_status: |_| Err(unreadable()),
    write_rollout_status: |_, _| Err(unreadable()),
    read_parts: |_| Vec::new(),
    read_load: |_| None,
};

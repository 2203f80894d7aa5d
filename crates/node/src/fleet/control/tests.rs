//! Orders of the events of sessions, without a network.

use std::{collections::BTreeSet, time::Duration};

use comfreyway_core::{fleet::RequestUpdate, ids::RequestId};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use tokio::sync::mpsc::error::TryRecvError;

use crate::fleet::{
    sessions::SessionEnd,
    wire::{PROTOCOL, ToCoordinator, ToHost},
};

use self::host::{Host, OTHERS, QUEUED_MESSAGES};

mod host;

/// A random order of steps is this long at most.
const MAX_STEPS: usize = 24;

/// What happens at the host. A session is chosen among all that it has dialed.
#[derive(Clone, Copy, Debug)]
enum Step {
    Submit,
    Withdraw,
    /// The other host sends what this one has queued on the session.
    Drain(usize),
    /// The session that is being dialed is open.
    Open,
    Pong(usize),
    Reject(usize),
    NotCoordinator(usize),
    SyncEnd(usize),
    /// The task of the session ends, and its queue with it. The actor hears of that later.
    Close(usize),
    /// The actor hears that a session has ended.
    Down(usize, SessionEnd),
    Probed(usize, bool),
    ClientUp(usize),
    ClientDown(usize),
    /// The entry of a host appears in the store.
    Listed(usize),
    Unlisted(usize),
    /// This host steps down because it does not reach the store.
    Resign,
    /// Hosts that were left out of the election may be chosen again.
    PausesEnd,
    Check,
}

impl Step {
    fn random(rng: &mut StdRng) -> Self {
        let (session, other) = (rng.random_range(0..4), rng.random_range(0..OTHERS));
        match rng.random_range(0..24) {
            0..4 => Self::Submit,
            4 => Self::Withdraw,
            5 => Self::Drain(session),
            6..8 => Self::Open,
            8..11 => Self::Pong(session),
            11 => Self::Reject(session),
            12 => Self::NotCoordinator(session),
            13 => Self::SyncEnd(session),
            14 => Self::Close(session),
            15 => Self::Down(session, SessionEnd::Silence),
            16 => Self::Down(session, SessionEnd::Other),
            17 => Self::Probed(other, rng.random()),
            18 => Self::ClientUp(other),
            19 => Self::ClientDown(other),
            20 if rng.random() => Self::Listed(other),
            20 => Self::Unlisted(other),
            21 => Self::Resign,
            22 => Self::PausesEnd,
            _ => Self::Check,
        }
    }
}

/// Makes the host a client of another one, whether it wins the election or not.
const CLIENT_OF_ANOTHER: [Step; 4] = [Step::Listed(0), Step::Resign, Step::Open, Step::Pong(0)];

/// No order of events leaves a host that accepts requests and places none: after the ends of
/// all sessions that have ended were told, and a periodic check after all pauses, each request is
/// held by this host's own coordinator, has been decided, or was sent on the session in use.
///
/// A host that was frozen found the queue of its session closed before it handled the end of
/// the session, which it then ignored: it was ready and placed no request for good.
#[rstest]
fn no_order_of_session_events_leaves_a_host_that_places_nothing(
    #[values(true, false)] wins_election: bool,
) {
    for seed in 0..4_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(4..=MAX_STEPS);
        let steps: Vec<_> = (0..count).map(|_| Step::random(&mut rng)).collect();
        actix_rt::System::new().block_on(async {
            let mut host = Host::new(wins_election);
            if seed % 2 == 0 {
                CLIENT_OF_ANOTHER.iter().for_each(|step| host.apply(*step));
            }
            steps.iter().for_each(|step| host.apply(*step));
            host.settle();
            host.submit();
            host.settle();
            let lost = host.lost_requests();
            assert!(lost.is_empty(), "seed {seed}: {lost:?} reach no coordinator after {steps:?}");
        });
    }
}

/// The order of events on a host that wakes up: its callers' requests come before the end of
/// its session.
#[rstest]
#[case::queue_closed(&[Step::Close(0), Step::Submit, Step::Down(0, SessionEnd::Silence)])]
#[case::queue_closed_by_a_notice(&[Step::Close(0), Step::Withdraw, Step::Down(0, SessionEnd::Other)])]
#[case::queue_full(&[Step::Submit; QUEUED_MESSAGES + 1])]
#[case::pong_of_the_lost_session(&[Step::Close(0), Step::Submit, Step::Pong(0), Step::Down(0, SessionEnd::Other)])]
#[actix_rt::test]
async fn requests_are_placed_by_the_own_coordinator_once_the_session_is_found_lost(
    #[case] steps: &[Step],
) {
    let mut host = Host::new(true);
    CLIENT_OF_ANOTHER.iter().for_each(|step| host.apply(*step));
    host.apply(Step::Submit);
    assert!(host.control.is_client());
    steps.iter().for_each(|step| host.apply(*step));
    assert!(!host.control.is_client(), "this host still relies on a session that is lost");
    assert_eq!(host.lost_requests(), BTreeSet::new());
}

/// Messages of a former session with the same host say nothing about the current one.
#[rstest]
#[case::pong(Step::Pong(0))]
#[case::down(Step::Down(0, SessionEnd::Other))]
#[case::not_coordinator(Step::NotCoordinator(0))]
#[actix_rt::test]
async fn events_of_a_former_session_do_not_change_the_current_one(#[case] late: Step) {
    let mut host = Host::new(true);
    CLIENT_OF_ANOTHER.iter().for_each(|step| host.apply(*step));
    for step in [Step::Close(0), Step::Submit, Step::PausesEnd, Step::Resign] {
        host.apply(step);
    }
    assert_eq!(host.sessions.len(), 2, "the host is not dialed again");
    host.apply(late);
    assert!(!host.control.is_client() && host.control.coordinator_client.is_current(2));
    host.apply(Step::Open);
    host.apply(Step::Pong(1));
    assert!(host.control.is_client());
    assert_eq!(host.lost_requests(), BTreeSet::new());
}

/// A client that isn't told that this host no longer coordinates would go on with it: its
/// pings are answered, and its requests are ignored.
#[actix_rt::test]
async fn a_client_that_can_not_be_told_to_leave_loses_its_session() {
    let mut host = Host::new(true);
    host.apply(Step::ClientUp(1));
    (0..QUEUED_MESSAGES).for_each(|_| host.ping_from_client());
    CLIENT_OF_ANOTHER.iter().for_each(|step| host.apply(*step));
    assert!(host.control.is_client());
    assert!(host.is_client_session_closed(), "the client still relies on this host");
}

impl Host {
    fn apply(&mut self, step: Step) {
        match step {
            Step::Submit => self.submit(),
            Step::Withdraw => self.withdraw(),
            Step::Drain(session) => self.drain(session),
            Step::Open => self.open_session(),
            Step::Pong(session) => {
                let revision = self.control.mirror.revision().0;
                let pong = ToHost::Pong(0, revision, Duration::ZERO, 1, PROTOCOL);
                self.receive(session, pong);
            }
            Step::Reject(session) => self.reject(session),
            Step::NotCoordinator(session) => self.receive(session, ToHost::NotCoordinator),
            Step::SyncEnd(session) => {
                let end = self.control.mirror.changes_since(self.control.mirror.revision()).end;
                self.receive(session, ToHost::SyncEnd(end));
            }
            Step::Close(session) => {
                if let Some(session) = self.sessions.get_mut(session) {
                    session.queue = None;
                }
            }
            Step::Down(session, end) => self.session_down(session, end),
            Step::Probed(other, responds) => self.probed(other, responds),
            Step::ClientUp(other) => self.client_up(other),
            Step::ClientDown(other) => self.client_down(other),
            Step::Listed(other) => self.list(other),
            Step::Unlisted(other) => self.unlist(other),
            Step::Resign => self.step_down(),
            Step::PausesEnd => self.control.search = Default::default(),
            Step::Check => self.control.run_checks(),
        }
        self.control.leave_failed_session();
        self.read_decisions();
    }

    /// Tells the actor of each session that has ended, and runs a check after all pauses.
    fn settle(&mut self) {
        for session in 0..self.sessions.len() {
            let queue = self.sessions[session].queue.as_mut();
            let is_abandoned = queue.is_some_and(|queue| {
                // Only while the actor holds the sender may messages come.
                loop {
                    match queue.try_recv() {
                        Ok(message) => self.sessions_sent.push((session, message)),
                        Err(e) => break e == TryRecvError::Disconnected,
                    }
                }
            });
            if self.sessions[session].queue.is_none() || is_abandoned {
                self.session_down(session, SessionEnd::Other);
            }
        }
        self.apply(Step::PausesEnd);
        self.apply(Step::Check);
    }

    /// Returns the open requests that no coordinator has.
    fn lost_requests(&mut self) -> BTreeSet<RequestId> {
        (0..self.sessions.len()).for_each(|session| self.drain(session));
        let used = self.control.coordinator_client.coordinator().is_some();
        if !used {
            let held = self.control.coordinator.waiting();
            return if held == self.open.len() { BTreeSet::new() } else { self.open_ids() };
        }
        let current = self.current_session();
        let mut lost = self.open_ids();
        for (session, message) in &self.sessions_sent {
            if let ToCoordinator::Update(RequestUpdate::Submit(req)) = message
                && Some(*session) == current
            {
                lost.remove(&req.record.id);
            }
        }
        lost
    }
}

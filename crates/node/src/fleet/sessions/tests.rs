//! Two hosts over real sockets: the end of a session on one side is seen on the other.

use std::net::Ipv4Addr;

use tokio::{
    io::AsyncReadExt,
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
};

use super::*;

const TOKEN: u64 = 7;

/// Time for the other side to see the end of a session: a peer that stops counts as silent.
const END_LIMIT: Duration = Duration::from_millis(2_000);

struct Peers {
    coordinator: Member,
    at_coordinator: UnboundedReceiver<SessionEvent>,
    at_client: UnboundedReceiver<SessionEvent>,
    client_tx: UnboundedSender<SessionEvent>,
}

impl Peers {
    async fn new() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let coordinator = member(listener.local_addr().unwrap());
        let (tx, at_coordinator) = unbounded_channel();
        let (client_tx, at_client) = unbounded_channel();
        actix_rt::spawn(accept(listener, TOKEN, tx));
        Self { coordinator, at_coordinator, at_client, client_tx }
    }

    fn dial(&self, session: u64) {
        let (local, coordinator) = (host("client"), self.coordinator.clone());
        actix_rt::spawn(dial(local, coordinator, session, Clock::new(), self.client_tx.clone()));
    }
}

fn host(name: &str) -> HostId {
    HostId { name: name.parse().unwrap(), incarnation: 1 }
}

fn member(address: std::net::SocketAddr) -> Member {
    Member { id: host("coordinator"), address, token: TOKEN, millicores: 0, forward: None }
}

/// Returns the next event that the test looks for.
async fn next<T, F>(events: &mut UnboundedReceiver<SessionEvent>, mut pick: F) -> T
where
    F: FnMut(SessionEvent) -> Option<T>,
{
    let picked = async {
        loop {
            if let Some(picked) = pick(events.recv().await.unwrap()) {
                return picked;
            }
        }
    };
    timeout(END_LIMIT, picked).await.expect("the event did not come")
}

fn host_up(event: SessionEvent) -> Option<(u64, Sender<Frame>)> {
    match event {
        SessionEvent::HostUp(_, session, tx, _) => Some((session, tx)),
        _ => None,
    }
}

fn host_down(event: SessionEvent) -> Option<u64> {
    match event {
        SessionEvent::HostDown(_, session) => Some(session),
        _ => None,
    }
}

fn coordinator_up(event: SessionEvent) -> Option<(u64, Sender<ToCoordinator>)> {
    match event {
        SessionEvent::CoordinatorUp(_, session, tx) => Some((session, tx)),
        _ => None,
    }
}

fn coordinator_down(event: SessionEvent) -> Option<(u64, SessionEnd)> {
    match event {
        SessionEvent::CoordinatorDown(_, session, end) => Some((session, end)),
        _ => None,
    }
}

#[actix_rt::test]
async fn a_client_sees_that_its_coordinator_has_dropped_the_session() {
    let mut peers = Peers::new().await;
    peers.dial(1);
    let (_, tx) = next(&mut peers.at_coordinator, host_up).await;
    let (_, _client_tx) = next(&mut peers.at_client, coordinator_up).await;
    drop(tx);
    assert_eq!(next(&mut peers.at_client, coordinator_down).await, (1, SessionEnd::Other));
}

#[actix_rt::test]
async fn a_coordinator_sees_that_its_client_has_dropped_the_session() {
    let mut peers = Peers::new().await;
    peers.dial(1);
    let (session, _tx) = next(&mut peers.at_coordinator, host_up).await;
    let (_, client_tx) = next(&mut peers.at_client, coordinator_up).await;
    drop(client_tx);
    assert_eq!(next(&mut peers.at_coordinator, host_down).await, session);
}

/// The client reconnects while its former session is still open at the coordinator.
#[actix_rt::test]
async fn each_of_two_sessions_of_a_host_ends_by_itself() {
    let mut peers = Peers::new().await;
    peers.dial(1);
    let (first, _first_tx) = next(&mut peers.at_coordinator, host_up).await;
    let (_, first_client_tx) = next(&mut peers.at_client, coordinator_up).await;
    peers.dial(2);
    let (second, _second_tx) = next(&mut peers.at_coordinator, host_up).await;
    let (number, _second_client_tx) = next(&mut peers.at_client, coordinator_up).await;
    assert!(number == 2 && second > first);
    drop(first_client_tx);
    assert_eq!(next(&mut peers.at_coordinator, host_down).await, first);
    assert_eq!(next(&mut peers.at_client, coordinator_down).await.0, 1);
}

/// A coordinator that is frozen accepts connections and reads nothing.
#[actix_rt::test]
async fn a_session_with_a_silent_host_ends() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let mut peers = Peers::new().await;
    peers.coordinator = member(listener.local_addr().unwrap());
    peers.dial(1);
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut first = [0];
    stream.read_exact(&mut first).await.unwrap();
    assert_eq!(next(&mut peers.at_client, coordinator_down).await, (1, SessionEnd::Silence));
}

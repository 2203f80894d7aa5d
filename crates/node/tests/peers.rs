//! Sessions between daemons, over loopback.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use comfreyway_core::ids::{HostId, HostName};
use comfreyway_node::{
    peers::{PeerEvent, PeersHandle, PeersSettings, start_peers},
    settings::Secret,
};
use comfreyway_proto::peer::{Hello, PeerMessage};
use tokio::{net::TcpListener, sync::mpsc::Receiver};

struct Node {
    host: HostId,
    address: SocketAddr,
    peers: PeersHandle,
    events: Receiver<PeerEvent>,
}

fn host(name: &str, incarnation: u64) -> HostId {
    HostId { name: HostName::new(name).unwrap(), incarnation }
}

async fn node(host: HostId, secret: &str, dial: &[SocketAddr]) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let secret = Secret::new(secret);
    let settings =
        PeersSettings::new(host.clone(), address, secret).with_static_peers(dial.to_vec());
    let (peers, events) = start_peers(settings, listener);
    Node { host, address, peers, events }
}

impl Node {
    async fn next(&mut self) -> PeerEvent {
        self.events.recv().await.unwrap()
    }

    async fn up(&mut self) -> HostId {
        match self.next().await {
            PeerEvent::Up { host, .. } => host,
            other => panic!("expected a peer up, got {other:?}"),
        }
    }

    async fn message(&mut self) -> (HostId, PeerMessage) {
        match self.next().await {
            PeerEvent::Message { from, message } => (from, message),
            other => panic!("expected a message, got {other:?}"),
        }
    }
}

fn message(n: u64) -> PeerMessage {
    PeerMessage::Hello(Hello::new(host("payload", n), "127.0.0.1:1".parse().unwrap()))
}

#[actix_rt::test]
async fn messages_arrive_in_order_both_ways() {
    let mut a = node(host("a", 1), "s", &[]).await;
    let mut b = node(host("b", 1), "s", &[a.address]).await;
    assert_eq!(b.up().await, a.host);
    assert_eq!(a.up().await, b.host);
    for n in 0..100 {
        assert!(a.peers.send(&b.host.name, &message(n)));
        assert!(b.peers.send(&a.host.name, &message(n)));
    }
    for n in 0..100 {
        assert_eq!(b.message().await, (a.host.clone(), message(n)));
        assert_eq!(a.message().await, (b.host.clone(), message(n)));
    }
    let traffic = a.peers.traffic();
    let sent = traffic.iter().find(|(key, _)| key.sent && key.kind == "hello").unwrap().1;
    assert_eq!(sent.messages, 100);
    assert!(sent.bytes > 1_000);
}

#[actix_rt::test]
async fn a_wrong_secret_is_refused() {
    let mut a = node(host("a", 1), "right", &[]).await;
    let _b = node(host("b", 1), "wrong", &[a.address]).await;
    let mut c = node(host("c", 1), "right", &[a.address]).await;
    assert_eq!(c.up().await, a.host);
    assert_eq!(a.up().await, c.host, "only the peer with the right secret comes up");
    assert!(!a.peers.send(&host("b", 1).name, &message(0)));
}

/// Accepts one session and then stops reading, like a paused process.
async fn paused_peer(listener: TcpListener) -> tokio::net::TcpStream {
    use futures_util::{SinkExt, StreamExt};
    let (stream, _) = listener.accept().await.unwrap();
    let mut socket = tokio_tungstenite::accept_async(stream).await.unwrap();
    socket.next().await.unwrap().unwrap();
    let hello = Hello::new(host("p", 1), listener.local_addr().unwrap());
    let buf = comfreyway_proto::peer::encode(&PeerMessage::Hello(hello)).unwrap();
    socket.send(tokio_tungstenite::tungstenite::Message::binary(buf)).await.unwrap();
    socket.into_inner()
}

#[actix_rt::test]
async fn a_paused_peer_goes_down_and_a_new_incarnation_comes_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let paused = actix_rt::spawn(paused_peer(listener));
    let mut a = node(host("a", 1), "s", &[address]).await;
    assert_eq!(a.up().await, host("p", 1));
    let stream = paused.await.unwrap();
    assert_eq!(a.next().await, PeerEvent::Down { host: host("p", 1) });
    assert!(!a.peers.send(&host("p", 1).name, &message(0)));
    drop(stream);
    let p = node(host("p", 2), "s", &[a.address]).await;
    assert_eq!(a.up().await, p.host);
}

#[actix_rt::test]
async fn a_peer_whose_queue_is_full_is_disconnected() {
    let mut a = node(host("a", 1), "s", &[]).await;
    let mut b = node(host("b", 1), "s", &[a.address]).await;
    b.up().await;
    a.up().await;
    let sent = (0..=PeersSettings::MAX_QUEUED_MESSAGES as u64)
        .take_while(|&n| a.peers.send(&b.host.name, &message(n)))
        .count();
    assert_eq!(sent, PeersSettings::MAX_QUEUED_MESSAGES);
    while a.next().await != (PeerEvent::Down { host: b.host.clone() }) {}
}

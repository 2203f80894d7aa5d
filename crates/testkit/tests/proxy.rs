//! Tests of the fault proxy.

#![allow(clippy::unwrap_used)]

use std::{io::ErrorKind, time::Duration};

use comfreyway_testkit::proxy::{AcceptRule, Direction, FaultProxy, LinkRule};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Bytes that don't arrive within this time count as dropped.
const SILENCE: Duration = Duration::from_millis(50);

/// A target that accepts no connections yet, with a proxy in front of it.
async fn fixture() -> (TcpListener, FaultProxy) {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = FaultProxy::start(target.local_addr().unwrap()).unwrap();
    (target, proxy)
}

/// Both ends of one connection through the proxy.
async fn connected(target: &TcpListener, proxy: &FaultProxy) -> (TcpStream, TcpStream) {
    let caller = TcpStream::connect(proxy.address()).await.unwrap();
    let (served, _) = target.accept().await.unwrap();
    (caller, served)
}

async fn read(stream: &mut TcpStream, len: usize) -> Vec<u8> {
    let mut buf = vec![0; len];
    stream.read_exact(&mut buf).await.unwrap();
    buf
}

async fn rest(stream: &mut TcpStream) -> Vec<u8> {
    let mut buf = Vec::new();
    // A reset counts as the end of the stream.
    let _ = stream.read_to_end(&mut buf).await;
    buf
}

#[rstest]
#[case::as_they_are(LinkRule::Pass)]
#[case::later(LinkRule::Delay(Duration::from_millis(20)))]
#[actix_rt::test]
async fn bytes_pass_in_both_directions(#[case] rule: LinkRule) {
    let (target, proxy) = fixture().await;
    proxy.set_up(rule);
    proxy.set_down(rule);
    let (mut caller, mut served) = connected(&target, &proxy).await;
    caller.write_all(b"question").await.unwrap();
    assert_eq!(read(&mut served, 8).await, b"question");
    served.write_all(b"answer").await.unwrap();
    drop(served);
    assert_eq!(rest(&mut caller).await, b"answer");
    assert_eq!(proxy.forwarded(Direction::Up), 8);
    assert_eq!(proxy.forwarded(Direction::Down), 6);
}

#[actix_rt::test]
async fn connection_is_cut_after_its_byte_limit() {
    let (target, proxy) = fixture().await;
    let (mut caller, mut served) = connected(&target, &proxy).await;
    served.write_all(b"first").await.unwrap();
    assert_eq!(read(&mut caller, 5).await, b"first");
    proxy.set_down(LinkRule::CutAfter(3));
    served.write_all(b"second").await.unwrap();
    assert_eq!(rest(&mut caller).await, b"sec");
    assert!(rest(&mut served).await.is_empty());
}

#[actix_rt::test]
async fn cut_once_cuts_only_the_first_connection() {
    let (target, proxy) = fixture().await;
    proxy.set_down(LinkRule::CutOnce(3));
    let (mut caller, mut served) = connected(&target, &proxy).await;
    served.write_all(b"first").await.unwrap();
    assert_eq!(rest(&mut caller).await, b"fir");
    let (mut caller, mut served) = connected(&target, &proxy).await;
    served.write_all(b"second").await.unwrap();
    drop(served);
    assert_eq!(rest(&mut caller).await, b"second");
}

#[actix_rt::test]
async fn rules_apply_only_to_filtered_requests() {
    let (target, proxy) = fixture().await;
    proxy.set_request_filter("POST");
    proxy.set_down(LinkRule::CutAfter(0));
    let (mut caller, mut served) = connected(&target, &proxy).await;
    caller.write_all(b"GET").await.unwrap();
    assert_eq!(read(&mut served, 3).await, b"GET");
    served.write_all(b"answer").await.unwrap();
    assert_eq!(read(&mut caller, 6).await, b"answer");
    caller.write_all(b"POST").await.unwrap();
    assert_eq!(read(&mut served, 4).await, b"POST");
    served.write_all(b"answer").await.unwrap();
    assert!(rest(&mut caller).await.is_empty());
}

#[actix_rt::test]
async fn dropping_one_direction_keeps_the_other_open() {
    let (target, proxy) = fixture().await;
    let (mut caller, mut served) = connected(&target, &proxy).await;
    proxy.set_down(LinkRule::Drop);
    served.write_all(b"lost").await.unwrap();
    caller.write_all(b"kept").await.unwrap();
    assert_eq!(read(&mut served, 4).await, b"kept");
    assert!(timeout(SILENCE, caller.read_u8()).await.is_err());
}

#[actix_rt::test]
async fn proxy_listens_again_after_heal() {
    let (target, proxy) = fixture().await;
    proxy.set_accept(AcceptRule::Refuse).unwrap();
    let refused = TcpStream::connect(proxy.address()).await.unwrap_err();
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    proxy.heal().unwrap();
    connected(&target, &proxy).await;
    assert_eq!(proxy.connections(), 1);
}

#[actix_rt::test]
async fn black_hole_accepts_and_stays_silent() {
    let (target, proxy) = fixture().await;
    proxy.set_accept(AcceptRule::BlackHole).unwrap();
    let mut caller = TcpStream::connect(proxy.address()).await.unwrap();
    caller.write_all(b"lost").await.unwrap();
    assert!(timeout(SILENCE, caller.read_u8()).await.is_err());
    assert!(timeout(SILENCE, target.accept()).await.is_err());
    proxy.cut_all();
    assert!(rest(&mut caller).await.is_empty());
}

#[actix_rt::test]
async fn half_open_connection_ends_for_the_target_only() {
    let (target, proxy) = fixture().await;
    let (mut caller, mut served) = connected(&target, &proxy).await;
    proxy.leave_half_open();
    assert!(rest(&mut served).await.is_empty());
    assert!(timeout(SILENCE, caller.read_u8()).await.is_err());
    proxy.heal().unwrap();
    assert!(rest(&mut caller).await.is_empty());
}

#[actix_rt::test]
async fn partition_drops_all_traffic_until_heal() {
    let (target, proxy) = fixture().await;
    let (mut caller, mut served) = connected(&target, &proxy).await;
    proxy.partition().unwrap();
    caller.write_all(b"lost").await.unwrap();
    assert!(timeout(SILENCE, served.read_u8()).await.is_err());
    proxy.heal().unwrap();
    assert!(rest(&mut caller).await.is_empty());
    let (mut caller, mut served) = connected(&target, &proxy).await;
    caller.write_all(b"kept").await.unwrap();
    assert_eq!(read(&mut served, 4).await, b"kept");
}

#[actix_rt::test]
async fn silenced_connections_stay_open_until_they_are_used_after_the_reset() {
    let (target, proxy) = fixture().await;
    let (mut caller, served) = connected(&target, &proxy).await;
    let (mut idle, _idle_served) = connected(&target, &proxy).await;
    proxy.silence();
    drop(served);
    caller.write_all(b"lost").await.unwrap();
    assert!(timeout(SILENCE, caller.read_u8()).await.is_err());
    let (mut later, mut later_served) = connected(&target, &proxy).await;
    later.write_all(b"kept").await.unwrap();
    assert_eq!(read(&mut later_served, 4).await, b"kept");
    proxy.reset_silenced();
    assert_eq!(caller.read_u8().await.unwrap_err().kind(), ErrorKind::ConnectionReset);
    assert!(timeout(SILENCE, idle.read_u8()).await.is_err());
    idle.write_all(b"used").await.unwrap();
    assert_eq!(idle.read_u8().await.unwrap_err().kind(), ErrorKind::ConnectionReset);
    later.write_all(b"more").await.unwrap();
    assert_eq!(read(&mut later_served, 4).await, b"more");
}

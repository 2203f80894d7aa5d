//! Two hosts and a runner over real sockets.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use bytes::Bytes;
use comfreyway_core::{
    fleet::{CallerMemoryLimits, RunnerEntry, RunnerKey, StopPhase},
    ids::HostId,
};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use rstest::rstest;

use crate::{control::Clock, fleet::host_state::HostState, metrics::Metrics};

use super::{server::MAX_FORWARDED, *};

const TOKEN: u64 = 7;

/// Address that nothing listens on.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Starts a peer that reads a request's head, passes it to the test, and answers with
/// these bytes.
fn start_peer(answer: &'static str) -> (SocketAddr, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let tx = tx.clone();
            thread::spawn(move || {
                let (head, mut stream) = read_head(stream);
                if tx.send(head).is_ok() {
                    // The host may have closed the connection.
                    let _ = stream.write_all(answer.as_bytes());
                }
            });
        }
    });
    (address, rx)
}

fn read_head(stream: TcpStream) -> (String, TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut head = String::new();
    while reader.read_line(&mut head).unwrap_or_default() > 2 {}
    let mut body = [0; 4];
    let _ = reader.read_exact(&mut body);
    (head + &String::from_utf8_lossy(&body), stream)
}

/// The other host.
struct OtherHost {
    host: ForwardHost,
    state: Arc<HostState>,
    server: ForwardServer,
}

fn start_host() -> OtherHost {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let limits = CallerMemoryLimits::of_process(160 << 20, 4_096);
    let state = Arc::new(HostState::new(Clock::new(), limits));
    let server = ForwardServer {
        token: TOKEN,
        host_state: state.clone(),
        paths: Default::default(),
        slots: ForwardSlots::default(),
        metrics: Metrics::new().unwrap().fleet(|| Duration::ZERO),
    };
    actix_rt::spawn(server.clone().serve(listener));
    OtherHost { host: forward_host(address), state, server }
}

fn forward_host(address: SocketAddr) -> ForwardHost {
    let id = HostId { name: "other".parse().unwrap(), incarnation: 1 };
    ForwardHost { id, address, token: TOKEN }
}

fn runner(address: SocketAddr) -> RunnerEntry {
    RunnerEntry {
        key: RunnerKey { name: "r1".parse().unwrap(), started_ms: None },
        upstream: "survey".parse().unwrap(),
        address,
        data_centre: "medeu".parse().unwrap(),
        slots: 4,
        leaving: false,
        version: None,
    }
}

fn request() -> Request<Full<Bytes>> {
    let req = Request::post("/lookup/").header("x-id", "id-1").header("content-length", "4");
    req.body(Full::new(Bytes::from_static(b"body"))).unwrap()
}

type SendResult = Result<(Response<Incoming>, bool), ForwardFailure>;

async fn send(host: &ForwardHost, address: SocketAddr) -> SendResult {
    let sent = send_through(host, &runner(address), request()).await;
    sent.map(|(res, _, is_unframed)| (res, is_unframed))
}

#[actix_rt::test]
async fn a_request_and_its_response_pass_another_host_unchanged() {
    let other = start_host();
    let (address, requests) =
        start_peer("HTTP/1.1 207 -\r\nx-own: 1\r\ncontent-length: 6\r\n\r\nanswer");
    let (res, is_unframed) = send(&other.host, address).await.unwrap();
    assert_eq!((res.status().as_u16(), is_unframed), (207, false));
    assert_eq!(res.headers()["x-own"], "1");
    let hop_header = res.headers().keys().find(|name| name.as_str().starts_with("comfreyway"));
    assert_eq!(hop_header, None);
    assert_eq!(res.into_body().collect().await.unwrap().to_bytes(), "answer");
    let head = requests.recv().unwrap();
    assert!(head.starts_with("POST /lookup/ HTTP/1.1\r\n") && head.ends_with("body"), "{head}");
    assert!(head.contains("x-id: id-1\r\n") && !head.contains("comfreyway"), "{head}");
}

#[rstest]
#[case::cut_inside_its_length("HTTP/1.1 200 -\r\ncontent-length: 9\r\n\r\nbegin")]
#[case::cut_before_the_last_chunk(
    "HTTP/1.1 200 -\r\ntransfer-encoding: chunked\r\n\r\n5\r\nbegin\r\n"
)]
#[actix_rt::test]
async fn a_response_that_breaks_off_does_not_look_complete_behind_another_host(
    #[case] answer: &'static str,
) {
    let other = start_host();
    let (address, _requests) = start_peer(answer);
    if let Ok((res, _)) = send(&other.host, address).await {
        assert!(res.into_body().collect().await.is_err());
    }
}

#[actix_rt::test]
async fn a_response_that_ends_with_its_connection_is_marked_as_such() {
    let other = start_host();
    let (address, _requests) = start_peer("HTTP/1.1 200 -\r\n\r\nanswer");
    let (res, is_unframed) = send(&other.host, address).await.unwrap();
    assert!(is_unframed);
    assert_eq!(res.into_body().collect().await.unwrap().to_bytes(), "answer");
}

#[actix_rt::test]
async fn a_request_counts_as_not_sent_only_if_the_other_host_says_so() {
    let other = start_host();
    let result = send(&other.host, unused_address()).await;
    assert!(matches!(result, Err(ForwardFailure::NotSent("cut-off"))));
    // It reaches another runner of the upstream.
    let upstream = "survey".parse().unwrap();
    let connected_at = other.state.clock.now();
    other.server.paths.borrow_mut().connected(connected_at, &upstream, unused_address());
    let result = send(&other.host, unused_address()).await;
    assert!(matches!(result, Err(ForwardFailure::Unreachable)));
    let result = send(&forward_host(unused_address()), unused_address()).await;
    assert!(matches!(result, Err(ForwardFailure::NotSent(_))));
}

/// A host that ends, and a response that names another attempt, say nothing.
#[rstest]
#[case::host_ends("")]
#[case::no_attempt(
    "HTTP/1.1 503 -\r\ncomfreyway-hop-outcome: unreachable\r\ncontent-length: 0\r\n\r\n"
)]
#[case::other_attempt(
    "HTTP/1.1 503 -\r\ncomfreyway-hop-outcome: busy\r\ncomfreyway-hop-attempt: 1\r\n\
     content-length: 0\r\n\r\n"
)]
#[actix_rt::test]
async fn a_request_may_have_run_if_the_other_host_does_not_state_its_outcome(
    #[case] answer: &'static str,
) {
    let (address, _requests) = start_peer(answer);
    let result = send(&forward_host(address), unused_address()).await;
    assert!(matches!(result, Err(ForwardFailure::Unknown(_))));
}

#[actix_rt::test]
async fn a_runner_that_ends_without_a_response_may_have_run_the_forwarded_request() {
    let other = start_host();
    let (address, requests) = start_peer("");
    let result = send(&other.host, address).await;
    assert!(matches!(result, Err(ForwardFailure::Unknown(_))));
    assert_eq!(requests.try_iter().count(), 1);
}

#[actix_rt::test]
async fn a_host_without_the_token_reaches_no_runner() {
    let other = start_host();
    let (address, requests) = start_peer("HTTP/1.1 200 -\r\ncontent-length: 0\r\n\r\n");
    let stranger = ForwardHost { token: TOKEN + 1, ..other.host };
    let result = send(&stranger, address).await;
    assert!(matches!(result, Err(ForwardFailure::NotSent("busy"))));
    assert_eq!(requests.try_iter().count(), 0);
}

#[actix_rt::test]
async fn a_host_that_reaches_no_runner_or_stops_forwards_nothing() {
    let other = start_host();
    let (address, requests) = start_peer("HTTP/1.1 200 -\r\ncontent-length: 0\r\n\r\n");
    let upstream = "survey".parse().unwrap();
    for port in [1, 2] {
        let runner = SocketAddr::from(([127, 0, 0, 1], port));
        other.server.paths.borrow_mut().connect_failed(other.state.clock.now(), &upstream, runner);
    }
    let result = send(&other.host, address).await;
    assert!(matches!(result, Err(ForwardFailure::NotSent("cut-off"))));
    let stopping = start_host();
    stopping.state.set_stop_phase(StopPhase::Draining);
    let result = send(&stopping.host, address).await;
    assert!(matches!(result, Err(ForwardFailure::NotSent("busy"))));
    assert_eq!(requests.try_iter().count(), 0);
}

#[actix_rt::test]
async fn a_host_forwards_a_limited_number_of_requests_at_a_time() {
    let other = start_host();
    // The peer never answers: the test keeps the other end of its accept queue.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent.local_addr().unwrap();
    let entry = runner(address);
    let hanging = (0..MAX_FORWARDED).map(|_| send_through(&other.host, &entry, request()));
    let mut hanging: Vec<_> = hanging.map(Box::pin).collect();
    let all = futures_util::future::join_all(hanging.iter_mut());
    assert!(tokio::time::timeout(Duration::from_millis(500), all).await.is_err());
    assert_eq!(other.state.in_progress(), MAX_FORWARDED);
    let result = send(&other.host, address).await;
    assert!(matches!(result, Err(ForwardFailure::NotSent("busy"))));
    drop(hanging);
    let released = async {
        while other.state.in_progress() > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), released).await.expect("requests stay open");
}

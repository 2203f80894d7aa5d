//! Connections that break while a request is being sent.

use std::{
    io::Read,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use rstest::rstest;
use socket2::{SockRef, Socket};
use std::time::Duration;

use super::harness::{DESK_KEY, FleetHarness, KEY, call_with, runner_entry};

/// Body that does not fit into the buffers of a connection's first segments.
const BODY_BYTES: usize = 90_000;

/// Starts a runner that reads at least this many bytes of each request and then ends the
/// connection. Returns its address and the number of its connections with bytes.
fn start_breaking_runner(bytes: usize, resets: bool) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let arrivals = Arc::new(AtomicUsize::new(0));
    let counted = arrivals.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            if read_some(&mut stream, bytes) > 0 {
                counted.fetch_add(1, Ordering::Relaxed);
            }
            if resets {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            drop(Socket::from(stream));
        }
    });
    (address, arrivals)
}

fn read_some(stream: &mut TcpStream, bytes: usize) -> usize {
    let mut buf = [0; 4_096];
    let mut read = 0;
    while read < bytes {
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(more) => read += more,
        }
    }
    read
}

#[rstest]
#[actix_rt::test]
async fn a_request_of_which_a_runner_got_bytes_is_never_reported_as_not_run(
    #[values(1, 4_096, 60_000, BODY_BYTES)] bytes: usize,
    #[values(true, false)] resets: bool,
) {
    let (address, arrivals) = start_breaking_runner(bytes, resets);
    let fleet = FleetHarness::new();
    let entry = runner_entry(address, "survey", "ready");
    fleet.store.put("servers/r1", entry.to_string().as_bytes());
    let host = fleet.start_host("h1").await;
    let body = "x".repeat(BODY_BYTES);
    for number in 0..5 {
        let id = format!("id-{number}");
        let headers = [(KEY, DESK_KEY)];
        let response = call_with(&host, &id, "/lookup/count/", &headers, &body).await;
        // The runner may be paused by then, and the request is not sent.
        let sent = arrivals.swap(0, Ordering::Relaxed);
        let status = if sent > 0 { 502 } else { 503 };
        assert_eq!((sent <= 1, response.status), (true, status), "{id} arrived {sent} times");
    }
}

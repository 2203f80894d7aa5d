//! Malformed requests, peer frames and store entries.
//!
//! Random input comes from fixed seeds. After each round a valid request must
//! succeed, and runners must have run no other requests.

use std::{collections::BTreeSet, time::Duration};

use actix_rt::time::timeout;
use comfreyway_testkit::fleet_runner::RunnerMode;
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::Daemon;

use super::harness::{DESK_KEY, FleetHarness, ID, KEY, call, configuration, runner_entry};

const ROUNDS: u64 = 60;

/// Time to read a response. A host that waits for the rest of a request neither
/// responds nor closes the connection.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Sends bytes and returns what arrives until the timeout.
async fn exchange_bytes(to: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    // The host may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut response = Vec::new();
    let _ = timeout(READ_TIMEOUT, stream.read_to_end(&mut response)).await;
    String::from_utf8_lossy(&response).into_owned()
}

async fn assert_serves(host: &Daemon, round: u64, sent: &mut BTreeSet<String>) {
    let id = format!("proper-{round}");
    assert_eq!(call(host, &id, "/lookup/").await.status, 200, "round {round}");
    sent.insert(id);
}

fn assert_only_sent_ran(fleet: &FleetHarness, sent: &BTreeSet<String>) {
    for run in fleet.runners.iter().flat_map(|runner| runner.runs()) {
        assert!(sent.contains(&run.request_id), "{run:?} was never sent");
    }
}

/// Returns a request without an ID or a key in which some bytes were changed,
/// removed or inserted.
fn damaged_request(rng: &mut StdRng) -> Vec<u8> {
    let requests = [
        format!(
            "POST /lookup/ HTTP/1.1\r\nhost: desk.example\r\n{KEY}: {DESK_KEY}\r\n\
                 content-length: 4\r\n\r\nbody"
        ),
        format!(
            "POST /lookup/count/ HTTP/1.1\r\nhost: desk.example\r\n{ID}: bad\r\n\
                 transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
        ),
        format!(
            "POST /tags/ HTTP/1.1\r\nhost: desk.example\r\n{KEY}: {DESK_KEY}\r\n\
                 transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        ),
    ];
    let mut bytes = requests[rng.random_range(0..requests.len())].clone().into_bytes();
    for _ in 0..rng.random_range(1..12) {
        let at = rng.random_range(0..bytes.len());
        match rng.random_range(0..4) {
            0 => bytes[at] = rng.random(),
            1 => drop(bytes.remove(at)),
            2 => bytes.insert(at, rng.random()),
            _ => bytes.insert(at, b"\r\n\0: ;,"[rng.random_range(0..7)]),
        }
    }
    bytes
}

/// Each request lacks its ID or its key, so none may run.
#[actix_rt::test]
async fn damaged_requests_never_run_and_the_host_still_serves() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    let mut rng = StdRng::seed_from_u64(1);
    let mut sent = BTreeSet::new();
    for round in 0..ROUNDS {
        let bytes = damaged_request(&mut rng);
        let response = exchange_bytes(host.settings().callers, &bytes).await;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        assert!(!response.starts_with("HTTP/1.1 200"), "{text:?}: {response}");
        assert_serves(&host, round, &mut sent).await;
    }
    assert_only_sent_ran(&fleet, &sent);
}

#[actix_rt::test]
async fn a_request_smuggled_within_another_request_never_runs() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    let inner = format!(
        "POST /lookup/ HTTP/1.1\r\nhost: desk.example\r\n{ID}: inner\r\n{KEY}: {DESK_KEY}\r\n\r\n"
    );
    let length = inner.len();
    let smuggling = [
        format!("content-length: {length}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{inner}"),
        format!("content-length: 0\r\ncontent-length: {length}\r\n\r\n{inner}"),
        format!("transfer-encoding: xchunked\r\n\r\n0\r\n\r\n{inner}"),
        format!("content-length: +{length}\r\n\r\n{inner}"),
    ];
    for headers in smuggling {
        let bytes = format!(
            "POST /lookup/ HTTP/1.1\r\nhost: desk.example\r\n{ID}: outer\r\n{KEY}: {DESK_KEY}\r\n\
             {headers}"
        );
        exchange_bytes(host.settings().callers, bytes.as_bytes()).await;
    }
    assert_only_sent_ran(&fleet, &BTreeSet::from(["outer".to_owned()]));
}

#[actix_rt::test]
async fn malformed_peer_frames_do_not_stop_the_host_from_serving() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    let mut rng = StdRng::seed_from_u64(2);
    let mut sent = BTreeSet::new();
    for round in 0..ROUNDS {
        let mut bytes = vec![0; rng.random_range(1..200)];
        rng.fill_bytes(&mut bytes);
        if round % 2 == 0 {
            // A valid handshake, then a binary frame of random bytes.
            let hello = "GET /fleet HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\n\
                         upgrade: websocket\r\nsec-websocket-version: 13\r\n\
                         sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n";
            bytes.splice(0..0, hello.bytes().chain([0x82]));
        }
        exchange_bytes(host.settings().peers, &bytes).await;
        assert_serves(&host, round, &mut sent).await;
    }
    assert_only_sent_ran(&fleet, &sent);
}

#[actix_rt::test]
async fn malformed_store_entries_do_not_stop_the_host_from_serving() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    let mut rng = StdRng::seed_from_u64(3);
    let mut sent = BTreeSet::new();
    for round in 0..ROUNDS {
        let key = match round % 3 {
            0 => "op/config",
            1 => "servers/other",
            _ => "comfreyway/hosts/other",
        };
        let mut value = match round % 3 {
            0 => configuration(round + 2).to_string().into_bytes(),
            _ => runner_entry(fleet.runners[0].address(), "survey", "ready").to_string().into(),
        };
        for _ in 0..rng.random_range(1..6) {
            let at = rng.random_range(0..value.len());
            value[at] = rng.random();
        }
        value.truncate(rng.random_range(1..=value.len()));
        fleet.store.put(key, &value);
        assert_serves(&host, round, &mut sent).await;
    }
    assert!(host.is_ready().await);
    assert_only_sent_ran(&fleet, &sent);
}

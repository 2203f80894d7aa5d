//! Bytes from outside that no caller, operator, runner or host should send.
//!
//! Drawn by fixed seeds. Each round is followed by proper requests: the host
//! still serves, and runners have seen nothing but these.

use std::{collections::BTreeSet, time::Duration};

use actix_rt::time::timeout;
use comfreyway_testkit::fleet_runner::RunnerMode;
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::Daemon;

use super::site::{DESK_KEY, ID, KEY, Site, call, configuration, runner_entry};

const ROUNDS: u64 = 60;

/// Time for a host to answer or to close; a rest of a request is waited for.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Sends bytes and reads what comes.
async fn throw(to: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    // The host may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = timeout(ANSWER_TIME, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

async fn serves(host: &Daemon, round: u64, sent: &mut BTreeSet<String>) {
    let id = format!("proper-{round}");
    assert_eq!(call(host, &id, "/lookup/").await.status, 200, "round {round}");
    sent.insert(id);
}

fn only(site: &Site, sent: &BTreeSet<String>) {
    for run in site.runners.iter().flat_map(|runner| runner.runs()) {
        assert!(sent.contains(&run.request_id), "{run:?} was never asked for");
    }
}

/// A proper request in which some bytes were changed, lost, doubled or put in.
fn damaged(rng: &mut StdRng) -> Vec<u8> {
    let heads = [
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
    let mut bytes = heads[rng.random_range(0..heads.len())].clone().into_bytes();
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

/// What is damaged has no identity or no key, so nothing of it may run.
#[actix_rt::test]
async fn damaged_requests_run_nowhere_and_break_nothing() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = site.host("h1").await;
    let mut rng = StdRng::seed_from_u64(1);
    let mut sent = BTreeSet::new();
    for round in 0..ROUNDS {
        let bytes = damaged(&mut rng);
        let answer = throw(host.settings().callers, &bytes).await;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        assert!(!answer.starts_with("HTTP/1.1 200"), "{text:?}: {answer}");
        serves(&host, round, &mut sent).await;
    }
    only(&site, &sent);
}

#[actix_rt::test]
async fn a_request_within_another_request_is_none() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = site.host("h1").await;
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
        throw(host.settings().callers, bytes.as_bytes()).await;
    }
    only(&site, &BTreeSet::from(["outer".to_owned()]));
}

#[actix_rt::test]
async fn frames_of_no_host_break_nothing() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = site.host("h1").await;
    let mut rng = StdRng::seed_from_u64(2);
    let mut sent = BTreeSet::new();
    for round in 0..ROUNDS {
        let mut bytes = vec![0; rng.random_range(1..200)];
        rng.fill_bytes(&mut bytes);
        if round % 2 == 0 {
            // A proper handshake, then any frame.
            let hello = "GET /fleet HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\n\
                         upgrade: websocket\r\nsec-websocket-version: 13\r\n\
                         sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n";
            bytes.splice(0..0, hello.bytes().chain([0x82]));
        }
        throw(host.settings().peers, &bytes).await;
        serves(&host, round, &mut sent).await;
    }
    only(&site, &sent);
}

#[actix_rt::test]
async fn entries_that_nobody_understands_change_nothing() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = site.host("h1").await;
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
            _ => runner_entry(site.runners[0].address(), "survey", "ready").to_string().into(),
        };
        for _ in 0..rng.random_range(1..6) {
            let at = rng.random_range(0..value.len());
            value[at] = rng.random();
        }
        value.truncate(rng.random_range(1..=value.len()));
        site.store.put(key, &value);
        serves(&host, round, &mut sent).await;
    }
    assert!(host.is_ready().await);
    only(&site, &sent);
}

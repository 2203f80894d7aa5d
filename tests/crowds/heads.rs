//! Many heads at once.

use std::fmt::Write;

use crate::{
    crowd::{send_heads, send_requests_with},
    harness::PARTS,
    host::{CrowdedHost, Limits},
};

const CONNECTIONS: usize = 300;
/// Below the limit on a head.
const HEAD_BYTES: usize = 12 << 10;

#[actix_rt::test]
async fn heads_that_stop_short_of_their_end_exceed_no_memory() {
    let host = CrowdedHost::start().await;
    let connections = send_heads(host.callers(), CONNECTIONS, HEAD_BYTES).await;
    host.settled().await;
    host.assert_serves().await;
    host.assert_within_bounds();
    drop(connections);
}

/// Parts of a prompt whose header has some 15 KiB.
const MANY_PARTS: usize = 2_200;

/// Returns a header with parts that no other request has.
fn many_parts(number: usize) -> String {
    let mut line = format!("{PARTS}: ");
    for part in 0..MANY_PARTS {
        write!(line, "{:x}:9,", number * MANY_PARTS + part).unwrap();
    }
    line + "0:9\r\n"
}

/// All parts of a prompt count, also while many such requests wait for a runner.
#[actix_rt::test]
async fn prompts_of_many_parts_that_wait_exceed_no_memory() {
    let host = CrowdedHost::start().await;
    host.runner().gate().close();
    let connections = send_requests_with(host.callers(), "/lookup/", CONNECTIONS, many_parts).await;
    host.settled().await;
    host.runner().gate().open();
    host.assert_serves().await;
    host.assert_within_bounds();
    drop(connections);
}

/// Descriptors of a host with room for fewer connections than the crowd has.
const FEW_DESCRIPTORS: usize = 600;
const MANY_CONNECTIONS: usize = 650;

#[actix_rt::test]
async fn connections_that_stop_short_of_a_request_leave_descriptors_to_others() {
    let limits = Limits { descriptors: FEW_DESCRIPTORS, ..Limits::default() };
    let host = CrowdedHost::start_with(limits).await;
    let connections = send_heads(host.callers(), MANY_CONNECTIONS, 100).await;
    host.settled().await;
    host.assert_serves().await;
    host.assert_within_bounds();
    drop(connections);
}

//! Many heads at once.

use crate::{
    crowd::send_heads,
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

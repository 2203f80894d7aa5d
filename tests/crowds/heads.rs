//! Many heads at once.

use crate::{crowd::send_heads, host::CrowdedHost};

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

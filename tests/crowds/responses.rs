//! Many responses that their callers don't read.

use comfreyway_testkit::raw_runner::{RawResponse, RawRunner};

use crate::{
    crowd::{CROWD, send_requests},
    harness::runner_entry,
    host::CrowdedHost,
};

const RESPONSE_BYTES: usize = 12 << 20;

#[actix_rt::test]
async fn responses_that_callers_do_not_read_exceed_no_memory() {
    let host = CrowdedHost::start().await;
    let response = RawResponse {
        head: format!("content-type: text/plain\r\ncontent-length: {RESPONSE_BYTES}\r\n"),
        body: vec![b'x'; RESPONSE_BYTES],
        ..RawResponse::default()
    };
    let runner = RawRunner::start("large-1", response).unwrap();
    host.put("servers/large-1", &runner_entry(runner.address(), "dala", "ready"));
    let connections = send_requests(host.callers(), "/tags/", CROWD).await;
    host.settled().await;
    host.assert_serves().await;
    assert!(!runner.requests().is_empty());
    host.assert_within_bounds();
    drop(connections);
}

//! Many responses that their callers don't read.

use std::time::Duration;

use actix_rt::time::sleep;
use comfreyway_testkit::raw_runner::{RawResponse, RawRunner};

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::{
    crowd::{CROWD, connect, send_requests},
    harness::{DESK_KEY, ID, KEY, runner_entry},
    host::CrowdedHost,
};

const RESPONSE_BYTES: usize = 12 << 20;

#[actix_rt::test]
async fn responses_that_callers_do_not_read_exceed_no_memory() {
    let host = CrowdedHost::start().await;
    let response = RawResponse {
        head: format!(
            "connection: close\r\ncontent-type: text/plain\r\ncontent-length: {RESPONSE_BYTES}\r\n"
        ),
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

/// Larger than the buffers of a socket.
const UNREAD_BYTES: usize = 4_500 << 10;
const FEW: usize = 5;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const MAX_POLLS: u32 = 500;

#[actix_rt::test]
async fn responses_that_few_callers_do_not_read_cost_no_other_caller_its_own() {
    let host = CrowdedHost::start().await;
    let response = RawResponse {
        head: format!(
            "content-type: text/plain\r\nconnection: close\r\ncontent-length: {UNREAD_BYTES}\r\n"
        ),
        body: vec![b'x'; UNREAD_BYTES],
        ..RawResponse::default()
    };
    let runner = RawRunner::start("large-1", response).unwrap();
    host.put("servers/large-1", &runner_entry(runner.address(), "dala", "ready"));
    let connections = send_requests(host.callers(), "/tags/", FEW).await;
    for _ in 0..MAX_POLLS {
        if runner.requests().len() == FEW {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    assert_eq!(runner.requests().len(), FEW);
    let mut stream = connect(host.callers()).await.unwrap();
    let head = format!(
        "POST /tags/ HTTP/1.1\r\nhost: desk.example\r\n{ID}: ordinary\r\n{KEY}: {DESK_KEY}\r\n\
         content-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut line = [0; 13];
    stream.read_exact(&mut line).await.unwrap();
    let ran = runner.requests().iter().filter(|request| request.contains(": ordinary")).count();
    assert_eq!((String::from_utf8_lossy(&line).as_ref(), ran), ("HTTP/1.1 200 ", 1));
    drop(connections);
}

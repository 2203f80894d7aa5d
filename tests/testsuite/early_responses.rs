//! Services that respond while a request is still being sent to them, and end the connection.

use std::time::Duration;

use comfreyway_proto::headers;
use comfreyway_testkit::{
    daemon::{DaemonSettings, TempDir, unused_address},
    early_runner::{ConnectionEnd, EarlyResponse, EarlyRunner},
};
use rstest::rstest;

use crate::support::{
    Daemon, Fixture,
    raw::{exchange, is_whole, status},
};

/// A body that fits into the kernel's buffers.
const BODY_BYTES: usize = 200 << 10;

#[rstest]
#[case::reset(ConnectionEnd::Reset(Duration::ZERO))]
#[case::later_reset(ConnectionEnd::Reset(Duration::from_millis(5)))]
#[case::close(ConnectionEnd::Close)]
#[case::half_close(ConnectionEnd::HalfClose(Duration::from_millis(100)))]
#[case::reset_after_body(ConnectionEnd::ResetAfterBody)]
#[actix_rt::test]
async fn a_part_of_a_response_without_a_length_is_not_an_answer(#[case] end: ConnectionEnd) {
    let response = EarlyResponse {
        status_line: "HTTP/1.1 200",
        head: "content-type: text/plain\r\n".to_owned(),
        body: b"a part of the answer".to_vec(),
        end,
        ..EarlyResponse::default()
    };
    let service = EarlyRunner::start(unused_address().unwrap(), response).unwrap();
    let dir = TempDir::new().unwrap();
    let fixture = Fixture::new().with_service(service.address());
    let file = dir.write("configuration.ini", &fixture.text()).unwrap();
    let settings = DaemonSettings::with_embedded("host-1", &file).unwrap();
    let daemon = Daemon::start_ready(settings).await;
    let head = format!(
        "POST /survey/1 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
         {}: ayaq\r\n{}: lookup\r\ncontent-length: {BODY_BYTES}\r\n\r\n",
        headers::WORKSPACE,
        headers::CLASS
    );
    let body = vec![b'x'; BODY_BYTES];
    let response = exchange(daemon.settings().callers, &head, &body).await;
    assert!(!is_whole(&response) || status(&response) == "502", "{response}");
}

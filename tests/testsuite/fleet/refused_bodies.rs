//! Refusals of callers that are still sending their body.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use actix_rt::task::spawn_blocking;
use comfreyway_testkit::fleet_runner::RunnerMode;
use rstest::rstest;

use super::harness::{DESK_KEY, FleetHarness, ID, KEY};

/// More than all buffers of a connection hold.
const SENT_BYTES: usize = 8 << 20;

/// Time between the caller's last byte and its look at the response.
const LATE: Duration = Duration::from_millis(300);

/// Sends a request and then reads all that came back, as a caller does that looks at the
/// response only after its last byte, and takes a failed write for a lost connection.
fn send(host: SocketAddr, key: &str, framing: &str, body: &[u8]) -> io::Result<String> {
    let mut stream = TcpStream::connect(host)?;
    let head = format!(
        "POST /lookup/ HTTP/1.1\r\nhost: desk.example\r\n{ID}: large\r\n{KEY}: {key}\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    thread::sleep(LATE);
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    Ok(String::from_utf8_lossy(&response).into_owned())
}

#[rstest]
#[case::announced(DESK_KEY, "content-length: 1073741824", "413")]
#[case::just_sent(DESK_KEY, "transfer-encoding: chunked", "413")]
#[case::unknown_key("no-key", "content-length: 1073741824", "401")]
#[actix_rt::test]
async fn a_refusal_reaches_a_caller_that_is_still_sending(
    #[case] key: &'static str,
    #[case] framing: &'static str,
    #[case] status: &str,
) {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    let callers = host.settings().callers;
    let chunk = [b"10000\r\n".as_slice(), &[b'x'; 0x10000], b"\r\n"].concat();
    let body = chunk.repeat(SENT_BYTES / chunk.len());
    let response = spawn_blocking(move || send(callers, key, framing, &body)).await.unwrap();
    let response = response.expect("the connection was lost");
    assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{response:?}");
    assert_eq!(fleet.runners[0].arrivals(), 0);
}

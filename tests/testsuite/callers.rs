//! The callers' interface of a real daemon: responses byte for byte, and invalid
//! requests of every kind.

use std::net::SocketAddr;

use awc::Client;
use comfreyway_proto::headers;
use comfreyway_testkit::{
    daemon::{DaemonSettings, TempDir},
    engine::{EngineSettings, EngineStandIn},
    measure::MetricsPage,
    service::ServiceStandIn,
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::{Daemon, Fixture, chat};

const PROMPT: &str = "Summarise what was said.";
const TOKENS: u32 = 300;
const HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\nconnection: close\r\n";
const CALLER_HEADERS: &str = "comfreyway-workspace: ayaq\r\ncomfreyway-class: summary\r\n";

struct Harness {
    daemon: Daemon,
    engine: EngineStandIn,
    service: ServiceStandIn,
    _dir: TempDir,
}

impl Harness {
    async fn new() -> Self {
        let engine = EngineStandIn::start(EngineSettings::new().with_cache_tokens(0)).unwrap();
        let service = ServiceStandIn::start().unwrap();
        let fixture = Fixture::new().with_engine(engine.address()).with_service(service.address());
        let dir = TempDir::new().unwrap();
        let file = dir.write("configuration.ini", &fixture.text()).unwrap();
        let settings = DaemonSettings::with_embedded("host-1", &file).unwrap();
        let settings = settings
            .with_limit("body-bytes", "4KiB")
            .with_limit("header-bytes", "4KiB")
            .with_limit("body-time", "500ms");
        Self { daemon: Daemon::start_ready(settings).await, engine, service, _dir: dir }
    }

    /// Sends raw bytes to the daemon and reads until the connection closes.
    async fn send(&self, request: &str) -> String {
        let mut stream = TcpStream::connect(self.daemon.settings().callers).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.unwrap();
        String::from_utf8(response).unwrap()
    }

    fn runs(&self) -> usize {
        self.engine.log().count() + self.service.log().count()
    }
}

/// Returns the body of a response that comes directly from the engine.
async fn direct_response(engine: SocketAddr, stream: bool) -> Vec<u8> {
    let url = format!("http://{engine}/v1/chat/completions");
    let sent = Client::default().post(url).send_json(&chat(PROMPT, TOKENS, stream)).await;
    sent.unwrap().body().await.unwrap().to_vec()
}

#[rstest]
#[case::streamed(true)]
#[case::whole(false)]
#[actix_rt::test]
async fn response_is_byte_for_byte_that_of_the_engine(#[case] stream: bool) {
    let harness = Harness::new().await;
    let expected = direct_response(harness.engine.address(), stream).await;
    let response = harness.daemon.caller().chat(PROMPT, TOKENS, stream).await;
    assert!(response.ended_cleanly, "{response:?}");
    assert_eq!(response.body.as_bytes(), expected);
    assert_eq!(harness.engine.log().count_of(&response.request_id), 1);
}

fn post(headers: &str, body: &str) -> String {
    format!("{HEAD}{headers}content-length: {}\r\n\r\n{body}", body.len())
}

fn chunked(chunks: &str) -> String {
    format!("{HEAD}{CALLER_HEADERS}transfer-encoding: chunked\r\n\r\n{chunks}")
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{CALLER_HEADERS}\r\n")
}

/// Returns invalid requests, each with the status and the reason expected.
fn invalid_requests() -> Vec<(String, u16, &'static str)> {
    let good = r#"{"model":"dala","messages":[]}"#;
    let other = "comfreyway-workspace: other\r\ncomfreyway-class: summary\r\n";
    let no_class = "comfreyway-workspace: ayaq\r\ncomfreyway-class: other\r\n";
    let once = "comfreyway-workspace: ayaq\r\ncomfreyway-class: count\r\n";
    let long = format!("{CALLER_HEADERS}x: {}\r\n", "x".repeat(5_000));
    vec![
        (post(CALLER_HEADERS, "{\"model\":"), 400, "bad-request"),
        (post(CALLER_HEADERS, r#"{"model":7,"messages":[]}"#), 400, "bad-request"),
        (post(other, good), 403, "unknown-workspace"),
        (post(no_class, good), 400, "unknown-class"),
        (post(CALLER_HEADERS, r#"{"model":"other","messages":[]}"#), 404, "unknown-model"),
        (get("/nowhere"), 404, "unknown-route"),
        (get("/v1/chat/completions"), 405, "method-not-allowed"),
        (post(CALLER_HEADERS, &"x".repeat(5_000)), 413, "too-large"),
        (post(&long, good), 413, "too-large"),
        (chunked("zz\r\nabc"), 400, "bad-request"),
        (post(once, good), 400, "missing-identity"),
    ]
}

#[actix_rt::test]
async fn invalid_requests_are_refused_and_counted_and_the_daemon_still_serves() {
    let harness = Harness::new().await;
    let inputs = invalid_requests();
    for (input, status, reason) in &inputs {
        let response = harness.send(input).await;
        assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{input}\n{response}");
        assert!(response.contains("comfreyway-outcome: not-run\r\n"), "{input}\n{response}");
        assert!(
            response.contains(&format!("comfreyway-reason: {reason}\r\n")),
            "{input}\n{response}"
        );
    }
    let page = MetricsPage::parse(&harness.daemon.metrics().await.unwrap());
    let counted = page.by_label("comfreyway_not_run_total", "reason");
    for (_, _, reason) in &inputs {
        let sent = inputs.iter().filter(|(_, _, other)| other == reason).count();
        assert_eq!(counted[*reason], sent as f64, "{reason}");
    }
    assert_eq!(harness.runs(), 0);
    let response = harness.daemon.caller().chat(PROMPT, 3, false).await;
    assert_eq!(response.outcome, "answered", "{response:?}");
}

#[actix_rt::test]
async fn stalled_body_is_refused() {
    let harness = Harness::new().await;
    let mut stream = TcpStream::connect(harness.daemon.settings().callers).await.unwrap();
    stream.write_all(chunked("5\r\n{\"mod").as_bytes()).await.unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.unwrap();
    let response = String::from_utf8(response).unwrap();
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("comfreyway-reason: slow-body\r\n"), "{response}");
    assert_eq!(harness.runs(), 0);
}

#[actix_rt::test]
async fn service_request_is_forwarded_unchanged() {
    let harness = Harness::new().await;
    let request = format!(
        "PUT /survey/leavers/7%2F8?lang=kk&q=%D3%99 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
         {CALLER_HEADERS}{}: k-1\r\ncontent-length: 4\r\n\r\n\0\r\n\x01",
        headers::IDEMPOTENCY_KEY
    );
    let response = harness.send(&request).await;
    assert!(response.contains("comfreyway-outcome: answered\r\n"), "{response}");
    let runs = harness.service.log().runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].method, "PUT");
    assert_eq!(runs[0].path, "/survey/leavers/7%2F8?lang=kk&q=%D3%99");
    assert_eq!(runs[0].body, b"\0\r\n\x01");
    assert_eq!(runs[0].idempotency_key, "k-1");
    assert_eq!(runs[0].workspace, "ayaq");
}

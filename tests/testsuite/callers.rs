//! The callers' interface of a real daemon: answers byte for byte, and bad
//! input of every kind.

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
const WHO: &str = "comfreyway-workspace: ayaq\r\ncomfreyway-class: summary\r\n";

struct Bench {
    daemon: Daemon,
    engine: EngineStandIn,
    service: ServiceStandIn,
    _dir: TempDir,
}

impl Bench {
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

    /// Sends raw bytes to the daemon and reads to the end of the connection.
    async fn send(&self, request: &str) -> String {
        let mut stream = TcpStream::connect(self.daemon.settings().callers).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.unwrap();
        String::from_utf8(answer).unwrap()
    }

    fn runs(&self) -> usize {
        self.engine.log().count() + self.service.log().count()
    }
}

/// The body of an answer straight from the engine.
async fn straight(engine: SocketAddr, stream: bool) -> Vec<u8> {
    let url = format!("http://{engine}/v1/chat/completions");
    let sent = Client::default().post(url).send_json(&chat(PROMPT, TOKENS, stream)).await;
    sent.unwrap().body().await.unwrap().to_vec()
}

#[rstest]
#[case::streamed(true)]
#[case::whole(false)]
#[actix_rt::test]
async fn answer_is_byte_for_byte_that_of_the_engine(#[case] stream: bool) {
    let bench = Bench::new().await;
    let expected = straight(bench.engine.address(), stream).await;
    let answer = bench.daemon.caller().chat(PROMPT, TOKENS, stream).await;
    assert!(answer.ended, "{answer:?}");
    assert_eq!(answer.body.as_bytes(), expected);
    assert_eq!(bench.engine.log().count_of(&answer.request_id), 1);
}

fn post(headers: &str, body: &str) -> String {
    format!("{HEAD}{headers}content-length: {}\r\n\r\n{body}", body.len())
}

fn chunked(chunks: &str) -> String {
    format!("{HEAD}{WHO}transfer-encoding: chunked\r\n\r\n{chunks}")
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{WHO}\r\n")
}

/// What a caller may get wrong.
fn bad_inputs() -> Vec<(String, u16, &'static str)> {
    let good = r#"{"model":"dala","messages":[]}"#;
    let other = "comfreyway-workspace: other\r\ncomfreyway-class: summary\r\n";
    let no_class = "comfreyway-workspace: ayaq\r\ncomfreyway-class: other\r\n";
    let once = "comfreyway-workspace: ayaq\r\ncomfreyway-class: count\r\n";
    let long = format!("{WHO}x: {}\r\n", "x".repeat(5_000));
    vec![
        (post(WHO, "{\"model\":"), 400, "bad-request"),
        (post(WHO, r#"{"model":7,"messages":[]}"#), 400, "bad-request"),
        (post(other, good), 403, "unknown-workspace"),
        (post(no_class, good), 400, "unknown-class"),
        (post(WHO, r#"{"model":"other","messages":[]}"#), 404, "unknown-model"),
        (get("/nowhere"), 404, "unknown-route"),
        (get("/v1/chat/completions"), 405, "method-not-allowed"),
        (post(WHO, &"x".repeat(5_000)), 413, "too-large"),
        (post(&long, good), 413, "too-large"),
        (chunked("zz\r\nabc"), 400, "bad-request"),
        (post(once, good), 400, "missing-identity"),
    ]
}

#[actix_rt::test]
async fn bad_input_is_refused_and_counted_and_the_daemon_goes_on() {
    let bench = Bench::new().await;
    let inputs = bad_inputs();
    for (input, status, reason) in &inputs {
        let answer = bench.send(input).await;
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{input}\n{answer}");
        assert!(answer.contains("comfreyway-outcome: not-run\r\n"), "{input}\n{answer}");
        assert!(answer.contains(&format!("comfreyway-reason: {reason}\r\n")), "{input}\n{answer}");
    }
    let page = MetricsPage::parse(&bench.daemon.metrics().await.unwrap());
    let counted = page.by_label("comfreyway_not_run_total", "reason");
    for (_, _, reason) in &inputs {
        let sent = inputs.iter().filter(|(_, _, other)| other == reason).count();
        assert_eq!(counted[*reason], sent as f64, "{reason}");
    }
    assert_eq!(bench.runs(), 0);
    let answer = bench.daemon.caller().chat(PROMPT, 3, false).await;
    assert_eq!(answer.outcome, "answered", "{answer:?}");
}

#[actix_rt::test]
async fn body_that_stops_is_refused() {
    let bench = Bench::new().await;
    let mut stream = TcpStream::connect(bench.daemon.settings().callers).await.unwrap();
    stream.write_all(chunked("5\r\n{\"mod").as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("comfreyway-reason: slow-body\r\n"), "{answer}");
    assert_eq!(bench.runs(), 0);
}

#[actix_rt::test]
async fn service_call_arrives_as_it_was_sent() {
    let bench = Bench::new().await;
    let request = format!(
        "PUT /survey/leavers/7%2F8?lang=kk&q=%D3%99 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
         {WHO}{}: k-1\r\ncontent-length: 4\r\n\r\n\0\r\n\x01",
        headers::IDEMPOTENCY_KEY
    );
    let answer = bench.send(&request).await;
    assert!(answer.contains("comfreyway-outcome: answered\r\n"), "{answer}");
    let runs = bench.service.log().runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].method, "PUT");
    assert_eq!(runs[0].path, "/survey/leavers/7%2F8?lang=kk&q=%D3%99");
    assert_eq!(runs[0].body, b"\0\r\n\x01");
    assert_eq!(runs[0].idempotency_key, "k-1");
    assert_eq!(runs[0].workspace, "ayaq");
}

//! Bad input is refused with a reason and counted, and nothing is dispatched.

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::{
    harness::{Harness, request},
    scripted_upstream::{ScriptedResponse, ScriptedUpstream},
};

const CHAT: &str = "POST /v1/chat/completions";
const WORKSPACE: &str = "comfreyway-workspace: acme";
const CLASS: &str = "comfreyway-class: ask";
const GOOD: &str = r#"{"model":"m","messages":[]}"#;

fn chunked(chunks: &str) -> String {
    format!(
        "{CHAT} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{WORKSPACE}\r\n{CLASS}\r\n\
         transfer-encoding: chunked\r\n\r\n{chunks}"
    )
}

#[rstest]
#[case::malformed_json(request(CHAT, &[WORKSPACE, CLASS], "{\"model\":"), 400, "bad-request")]
#[case::wrong_type(
    request(CHAT, &[WORKSPACE, CLASS], r#"{"model":1,"messages":[]}"#),
    400,
    "bad-request"
)]
#[case::wrong_content(
    request(CHAT, &[WORKSPACE, CLASS], r#"{"model":"m","messages":[{"role":"user","content":5}]}"#),
    400,
    "bad-request"
)]
#[case::no_body(request(CHAT, &[WORKSPACE, CLASS], ""), 400, "bad-request")]
#[case::not_utf8(chunked("3\r\n{\"\r\r\n0\r\n\r\n"), 400, "bad-request")]
#[case::no_workspace(request(CHAT, &[CLASS], GOOD), 400, "bad-request")]
#[case::two_workspaces(request(CHAT, &[WORKSPACE, WORKSPACE, CLASS], GOOD), 400, "bad-request")]
#[case::unknown_workspace(
    request(CHAT, &["comfreyway-workspace: other", CLASS], GOOD),
    403,
    "unknown-workspace"
)]
#[case::bad_class_name(
    request(CHAT, &[WORKSPACE, "comfreyway-class: a b"], GOOD),
    400,
    "bad-request"
)]
#[case::unknown_class(
    request(CHAT, &[WORKSPACE, "comfreyway-class: other"], GOOD),
    400,
    "unknown-class"
)]
#[case::no_class(request("GET /bare/x", &[WORKSPACE], ""), 400, "unknown-class")]
#[case::unknown_model(
    request(CHAT, &[WORKSPACE, CLASS], r#"{"model":"other","messages":[]}"#),
    404,
    "unknown-model"
)]
#[case::old_version(
    request("GET /rack/1", &[WORKSPACE, CLASS], "").replace("HTTP/1.1", "HTTP/1.0"),
    400,
    "bad-request"
)]
#[case::unknown_route(request("GET /nowhere", &[WORKSPACE, CLASS], ""), 404, "unknown-route")]
#[case::method(request("GET /v1/chat/completions", &[WORKSPACE], ""), 405, "method-not-allowed")]
#[case::trace(request("TRACE /rack/1", &[WORKSPACE], ""), 405, "method-not-allowed")]
#[case::no_identity(
    request(CHAT, &[WORKSPACE, "comfreyway-class: once"], GOOD),
    400,
    "missing-identity"
)]
#[case::long_identity(
    request(CHAT, &[WORKSPACE, CLASS, &format!("idempotency-key: {}", "k".repeat(300))], GOOD),
    400,
    "bad-request"
)]
#[case::large_header(
    request(CHAT, &[WORKSPACE, CLASS, &format!("x: {}", "x".repeat(5000))], GOOD),
    413,
    "too-large"
)]
#[case::large_body(request(CHAT, &[WORKSPACE, CLASS], &"x".repeat(5000)), 413, "too-large")]
#[case::large_chunked_body(
    chunked(&format!("1388\r\n{}\r\n0\r\n\r\n", "x".repeat(5000))),
    413,
    "too-large"
)]
#[case::broken_chunking(chunked("zz\r\nabc"), 400, "bad-request")]
#[actix_rt::test]
async fn bad_input_is_refused_and_counted(
    #[case] input: String,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let upstream = ScriptedUpstream::start(Vec::new()).await;
    let harness = Harness::start(upstream.address, false);
    let response = harness.send(&input).await;
    let version = response.get(..9).unwrap_or_default();
    assert!(response.starts_with(&format!("{version}{status}")), "{response}");
    assert!(response.contains("comfreyway-outcome: not-run\r\n"), "{response}");
    assert!(response.contains(&format!("comfreyway-reason: {reason}\r\n")), "{response}");
    assert!(response.contains("comfreyway-request-id: "), "{response}");
    assert!(response.contains("content-type: application/problem+json"), "{response}");
    assert!(response.contains(&format!(r#""status":{status}"#)), "{response}");
    assert_eq!(harness.metric(&format!("comfreyway_not_run_total{{reason=\"{reason}\"}}")), 1);
    harness.wait_idle().await;
    assert!(upstream.requests().is_empty());
}

#[actix_rt::test]
async fn slow_body_is_refused() {
    let upstream = ScriptedUpstream::start(Vec::new()).await;
    let harness = Harness::start(upstream.address, false);
    let head = format!(
        "{CHAT} HTTP/1.1\r\nhost: h\r\n{WORKSPACE}\r\n{CLASS}\r\ncontent-length: 100\r\n\r\n{{"
    );
    let mut stream = harness.open(&head).await;
    let mut response = vec![0; 12];
    stream.read_exact(&mut response).await.unwrap();
    assert_eq!(response, b"HTTP/1.1 408");
    assert_eq!(harness.metric("comfreyway_not_run_total{reason=\"slow-body\"}"), 1);
    assert!(upstream.requests().is_empty());
}

#[actix_rt::test]
async fn daemon_still_serves_after_bad_input() {
    let upstream = ScriptedUpstream::start(vec![ScriptedResponse::json("{}")]).await;
    let harness = Harness::start(upstream.address, false);
    let mut broken = harness.open("POST /v1/chat/completions HTTP/1.1\r\ncontent-le").await;
    broken.shutdown().await.unwrap();
    harness.send("\0\0 nonsense\r\n\r\n").await;
    let response = harness.send(&request(CHAT, &[WORKSPACE, CLASS], GOOD)).await;
    assert!(response.contains("comfreyway-outcome: answered\r\n"), "{response}");
    assert_eq!(upstream.requests().len(), 1);
}

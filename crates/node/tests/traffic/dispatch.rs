//! Requests as upstreams receive them and responses as callers receive them.

use comfreyway_node::http::Phase;
use rstest::rstest;

use crate::{
    harness::{Harness, chat, dechunk, request},
    scripted_upstream::{AfterResponse, ScriptedResponse, ScriptedUpstream},
};

const WORKSPACE: &str = "comfreyway-workspace: acme";

#[actix_rt::test]
async fn service_request_is_forwarded_without_hop_by_hop_headers() {
    let scripted = "HTTP/1.1 207 Multi\nx-a: 1\nx-a: 2\nconnection: x-hop\nx-hop: gone\n\
                 comfreyway-outcome: forged\ncontent-length: 5\n\nhello";
    let upstream =
        ScriptedUpstream::start(vec![ScriptedResponse::new(scripted, AfterResponse::Keep)]).await;
    let harness = Harness::start(upstream.address, false);
    let headers = [
        WORKSPACE,
        "x-one: a",
        "x-one: b",
        "connection: x-private",
        "x-private: gone",
        "last-event-id: 4",
        "te: trailers",
        "idempotency-key: k1",
        "comfreyway-fencing: 99.9",
    ];
    let response =
        harness.send(&request("PATCH /rack/7%2F8?q=a%20b&c", &headers, "body\r\n\0")).await;
    let sent = upstream.requests().remove(0);
    assert!(sent.starts_with("PATCH /rack/7%2F8?q=a%20b&c HTTP/1.1\r\n"), "{sent}");
    assert!(sent.ends_with("\r\n\r\nbody\r\n\0"), "{sent}");
    let kept =
        ["host: h", "x-one: a", "x-one: b", "idempotency-key: k1", "last-event-id: 4", WORKSPACE];
    for kept in kept.map(|header| format!("\r\n{header}\r\n")) {
        assert!(sent.contains(&kept), "{sent}");
    }
    assert!(sent.contains("comfreyway-fencing: 1.0\r\n"), "{sent}");
    for dropped in ["x-private", "\r\nte: ", "99.9"] {
        assert!(!sent.contains(dropped), "{sent}");
    }
    assert!(response.starts_with("HTTP/1.1 207"), "{response}");
    assert!(response.contains("x-a: 1\r\n") && response.contains("x-a: 2\r\n"), "{response}");
    assert!(!response.contains("x-hop") && !response.contains("forged"), "{response}");
    assert!(response.contains("comfreyway-outcome: answered\r\n"), "{response}");
    assert!(response.ends_with("\r\n\r\nhello"), "{response}");
}

#[actix_rt::test]
async fn chat_body_is_forwarded_byte_for_byte() {
    let body = r#"{"id":"x","usage":{"prompt_tokens":9,"completion_tokens":3}}"#;
    let upstream = ScriptedUpstream::start(vec![ScriptedResponse::json(body)]).await;
    let harness = Harness::start(upstream.address, false);
    let input = chat(&["last-event-id: 4"], false);
    let response = harness.send(&input).await;
    let sent = upstream.requests().remove(0);
    assert!(!sent.contains("last-event-id"), "{sent}");
    assert_eq!(sent.split_once("\r\n\r\n").unwrap().1, input.split_once("\r\n\r\n").unwrap().1);
    assert!(response.ends_with(body), "{response}");
    assert_eq!(harness.metric("comfreyway_answered_total{class=\"ask\"}"), 1);
}

#[actix_rt::test]
async fn head_response_keeps_its_length() {
    let scripted =
        ScriptedResponse::new("HTTP/1.1 200 OK\ncontent-length: 1234\n\n", AfterResponse::Keep);
    let upstream = ScriptedUpstream::start(vec![scripted]).await;
    let harness = Harness::start(upstream.address, false);
    let response = harness.send(&request("HEAD /rack/1", &[WORKSPACE], "")).await;
    assert!(response.contains("content-length: 1234\r\n"), "{response}");
    assert!(response.ends_with("\r\n\r\n"), "{response}");
}

#[rstest]
#[case::redirect("HTTP/1.1 302 Found\nlocation: http://127.0.0.1:1/\ncontent-length: 0\n\n", 302)]
#[case::no_content("HTTP/1.1 204 No Content\n\n", 204)]
#[case::upstream_error("HTTP/1.1 500 Oops\ncontent-length: 4\n\noops", 500)]
#[actix_rt::test]
async fn upstream_status_is_forwarded_to_the_caller(#[case] scripted: &str, #[case] status: u16) {
    let upstream =
        ScriptedUpstream::start(vec![ScriptedResponse::new(scripted, AfterResponse::Keep)]).await;
    let harness = Harness::start(upstream.address, false);
    let response = harness.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
    assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
    assert!(response.contains("comfreyway-outcome: answered\r\n"), "{response}");
    assert_eq!(upstream.requests().len(), 1);
}

#[rstest]
#[case::no_head("", "upstream-broke")]
#[case::half_a_head("HTTP/1.1 200 OK\ncontent-le", "upstream-broke")]
#[case::short_body("HTTP/1.1 200 OK\ncontent-length: 9\n\n{\"a\":", "upstream-broke")]
#[case::short_chunk(
    "HTTP/1.1 200 OK\ncontent-type: application/json\ntransfer-encoding: chunked\n\n5\n{\"a\":\n",
    "upstream-broke"
)]
#[actix_rt::test]
async fn broken_response_is_unknown_and_the_request_is_sent_once(
    #[case] scripted: &str,
    #[case] reason: &str,
) {
    let upstream =
        ScriptedUpstream::start(vec![ScriptedResponse::new(scripted, AfterResponse::Close)]).await;
    let harness = Harness::start(upstream.address, false);
    let response = harness.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert!(response.contains("comfreyway-outcome: unknown\r\n"), "{response}");
    assert!(response.contains(&format!("comfreyway-reason: {reason}\r\n")), "{response}");
    assert_eq!(harness.metric(&format!("comfreyway_unknown_total{{reason=\"{reason}\"}}")), 1);
    assert_eq!(upstream.requests().len(), 1);
}

/// A response with a status that HTTP doesn't define says nothing of its request.
#[rstest]
#[case::zero("000")]
#[case::below_100("099")]
#[case::above_599("600")]
#[case::largest("999")]
#[case::not_requested_upgrade("101")]
#[case::two_digits("20")]
#[case::four_digits("2000")]
#[actix_rt::test]
async fn a_response_with_an_invalid_status_is_unknown(#[case] status: &str) {
    let head = "content-type: application/json\ncontent-length: 2\n";
    let scripted = format!("HTTP/1.1 {status} -\n{head}\n{{}}");
    let scripted = ScriptedResponse::new(&scripted, AfterResponse::Close);
    let upstream = ScriptedUpstream::start(vec![scripted]).await;
    let harness = Harness::start(upstream.address, false);
    let response = harness.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert!(response.contains("comfreyway-reason: upstream-broke\r\n"), "{response}");
    assert_eq!(upstream.requests().len(), 1);
}

#[actix_rt::test]
async fn whole_json_without_its_last_chunk_is_answered() {
    let scripted = "HTTP/1.1 200 OK\ncontent-type: application/json\ntransfer-encoding: chunked\n\n\
                 7\n{\"a\":1}\n";
    let upstream =
        ScriptedUpstream::start(vec![ScriptedResponse::new(scripted, AfterResponse::Close)]).await;
    let harness = Harness::start(upstream.address, false);
    let response = harness.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
    assert!(response.contains("comfreyway-outcome: answered\r\n"), "{response}");
    assert!(response.ends_with("{\"a\":1}"), "{response}");
}

const CHUNKED_TEXT: &str =
    "HTTP/1.1 200 OK\ncontent-type: text/plain\ntransfer-encoding: chunked\n\n5\nhello\n";

#[rstest]
#[case::kept_connection(AfterResponse::Keep)]
#[case::closed_connection(AfterResponse::Close)]
#[actix_rt::test]
async fn chunked_text_is_whole_after_its_last_chunk(#[case] after: AfterResponse) {
    let scripted = ScriptedResponse::new(&format!("{CHUNKED_TEXT}0\n\n"), after);
    let upstream = ScriptedUpstream::start(vec![scripted]).await;
    let harness = Harness::start(upstream.address, false);
    let response = harness.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
    assert_eq!(dechunk(&response), ("hello".to_owned(), true));
    assert_eq!(harness.metric("comfreyway_answered_total{class=\"ask\"}"), 1);
}

#[actix_rt::test]
async fn chunked_text_that_is_cut_between_two_chunks_is_unknown() {
    let upstream =
        ScriptedUpstream::start(vec![ScriptedResponse::new(CHUNKED_TEXT, AfterResponse::Close)])
            .await;
    let harness = Harness::start(upstream.address, false);
    let response = harness.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
    assert_eq!(dechunk(&response), ("hello".to_owned(), false));
    assert_eq!(harness.metric("comfreyway_unknown_total{reason=\"upstream-broke\"}"), 1);
    assert_eq!(upstream.requests().len(), 1);
}

#[actix_rt::test]
async fn closed_connection_is_not_reused() {
    let script = vec![
        ScriptedResponse { after: AfterResponse::Close, ..ScriptedResponse::json("{\"n\":1}") },
        ScriptedResponse { after: AfterResponse::Close, ..ScriptedResponse::json("{\"n\":2}") },
    ];
    let upstream = ScriptedUpstream::start(script).await;
    let harness = Harness::start(upstream.address, false);
    for n in 1..=2 {
        let response = harness.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
        assert!(response.ends_with(&format!("{{\"n\":{n}}}")), "{response}");
    }
}

#[rstest]
#[case::leaving("HTTP/1.1 503 No\ncomfreyway-leaving: true\ncontent-length: 0\n\n", "no-runner")]
#[case::fenced("HTTP/1.1 412 No\ncontent-length: 0\n\n", "no-owner")]
#[actix_rt::test]
async fn request_that_the_upstream_rejects_is_not_run(
    #[case] scripted: &str,
    #[case] reason: &str,
) {
    let upstream =
        ScriptedUpstream::start(vec![ScriptedResponse::new(scripted, AfterResponse::Keep)]).await;
    let harness = Harness::start(upstream.address, false);
    let response = harness.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
    assert!(response.contains("comfreyway-outcome: not-run\r\n"), "{response}");
    assert!(response.contains(&format!("comfreyway-reason: {reason}\r\n")), "{response}");
    assert!(response.contains("retry-after: 1\r\n"), "{response}");
    assert_eq!(upstream.requests().len(), 1);
}

#[actix_rt::test]
async fn refused_connection_is_not_run() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let harness = Harness::start(closed, false);
    let headers = [WORKSPACE, "comfreyway-class: soon"];
    let response = harness.send(&request("GET /rack/1", &headers, "")).await;
    assert!(response.contains("comfreyway-outcome: not-run\r\n"), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    assert!(harness.metric("comfreyway_retries_total{reason=\"connect-refused\"}") >= 1);
}

#[actix_rt::test]
async fn stopping_daemon_refuses_new_requests() {
    let upstream = ScriptedUpstream::start(Vec::new()).await;
    let harness = Harness::start(upstream.address, false);
    harness.traffic.set_phase(Phase::Draining);
    harness.traffic.set_phase(Phase::Serving);
    let response = harness.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
    assert!(response.contains("comfreyway-reason: stopping\r\n"), "{response}");
    assert!(response.contains("retry-after: 1\r\n"), "{response}");
    assert!(upstream.requests().is_empty());
}

#[actix_rt::test]
async fn leaving_runner_gets_no_new_request() {
    let leaving = "HTTP/1.1 200 OK\ncomfreyway-leaving: true\ncontent-length: 2\n\nok";
    let upstream =
        ScriptedUpstream::start(vec![ScriptedResponse::new(leaving, AfterResponse::Keep)]).await;
    let harness = Harness::start(upstream.address, false);
    let headers = [WORKSPACE, "comfreyway-class: soon"];
    let response = harness.send(&request("GET /rack/1", &headers, "")).await;
    assert!(response.ends_with("ok"), "{response}");
    let response = harness.send(&request("GET /rack/1", &headers, "")).await;
    assert!(response.contains("comfreyway-outcome: not-run\r\n"), "{response}");
    assert_eq!(upstream.requests().len(), 1);
}

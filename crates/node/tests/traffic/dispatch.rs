//! What goes to an upstream and what comes back.

use comfreyway_node::http::Phase;
use rstest::rstest;

use crate::{
    rig::{Rig, chat, dechunk, request},
    scripted::{Reply, Scripted, Then},
};

const WORKSPACE: &str = "comfreyway-workspace: acme";

#[actix_rt::test]
async fn service_call_passes_as_it_is() {
    let reply = "HTTP/1.1 207 Multi\nx-a: 1\nx-a: 2\nconnection: x-hop\nx-hop: gone\n\
                 comfreyway-outcome: forged\ncontent-length: 5\n\nhello";
    let upstream = Scripted::start(vec![Reply::new(reply, Then::Keep)]).await;
    let rig = Rig::start(upstream.address, false);
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
    let answer = rig.send(&request("PATCH /rack/7%2F8?q=a%20b&c", &headers, "body\r\n\0")).await;
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
    assert!(answer.starts_with("HTTP/1.1 207"), "{answer}");
    assert!(answer.contains("x-a: 1\r\n") && answer.contains("x-a: 2\r\n"), "{answer}");
    assert!(!answer.contains("x-hop") && !answer.contains("forged"), "{answer}");
    assert!(answer.contains("comfreyway-outcome: answered\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nhello"), "{answer}");
}

#[actix_rt::test]
async fn chat_body_is_forwarded_byte_for_byte() {
    let body = r#"{"id":"x","usage":{"prompt_tokens":9,"completion_tokens":3}}"#;
    let upstream = Scripted::start(vec![Reply::json(body)]).await;
    let rig = Rig::start(upstream.address, false);
    let input = chat(&["last-event-id: 4"], false);
    let answer = rig.send(&input).await;
    let sent = upstream.requests().remove(0);
    assert!(!sent.contains("last-event-id"), "{sent}");
    assert_eq!(sent.split_once("\r\n\r\n").unwrap().1, input.split_once("\r\n\r\n").unwrap().1);
    assert!(answer.ends_with(body), "{answer}");
    assert_eq!(rig.metric("comfreyway_answered_total{class=\"ask\"}"), 1);
}

#[actix_rt::test]
async fn head_answer_keeps_its_length() {
    let reply = Reply::new("HTTP/1.1 200 OK\ncontent-length: 1234\n\n", Then::Keep);
    let upstream = Scripted::start(vec![reply]).await;
    let rig = Rig::start(upstream.address, false);
    let answer = rig.send(&request("HEAD /rack/1", &[WORKSPACE], "")).await;
    assert!(answer.contains("content-length: 1234\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\n"), "{answer}");
}

#[rstest]
#[case::redirect("HTTP/1.1 302 Found\nlocation: http://127.0.0.1:1/\ncontent-length: 0\n\n", 302)]
#[case::no_content("HTTP/1.1 204 No Content\n\n", 204)]
#[case::upstream_error("HTTP/1.1 500 Oops\ncontent-length: 4\n\noops", 500)]
#[actix_rt::test]
async fn upstream_status_goes_to_the_caller(#[case] reply: &str, #[case] status: u16) {
    let upstream = Scripted::start(vec![Reply::new(reply, Then::Keep)]).await;
    let rig = Rig::start(upstream.address, false);
    let answer = rig.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    assert!(answer.contains("comfreyway-outcome: answered\r\n"), "{answer}");
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
async fn broken_answer_is_unknown_and_sent_once(#[case] reply: &str, #[case] reason: &str) {
    let upstream = Scripted::start(vec![Reply::new(reply, Then::Close)]).await;
    let rig = Rig::start(upstream.address, false);
    let answer = rig.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(answer.contains("comfreyway-outcome: unknown\r\n"), "{answer}");
    assert!(answer.contains(&format!("comfreyway-reason: {reason}\r\n")), "{answer}");
    assert_eq!(rig.metric(&format!("comfreyway_unknown_total{{reason=\"{reason}\"}}")), 1);
    assert_eq!(upstream.requests().len(), 1);
}

#[actix_rt::test]
async fn whole_json_without_its_last_chunk_is_answered() {
    let reply = "HTTP/1.1 200 OK\ncontent-type: application/json\ntransfer-encoding: chunked\n\n\
                 7\n{\"a\":1}\n";
    let upstream = Scripted::start(vec![Reply::new(reply, Then::Close)]).await;
    let rig = Rig::start(upstream.address, false);
    let answer = rig.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
    assert!(answer.contains("comfreyway-outcome: answered\r\n"), "{answer}");
    assert!(answer.ends_with("{\"a\":1}"), "{answer}");
}

const CHUNKED_TEXT: &str =
    "HTTP/1.1 200 OK\ncontent-type: text/plain\ntransfer-encoding: chunked\n\n5\nhello\n";

#[rstest]
#[case::kept_connection(Then::Keep)]
#[case::closed_connection(Then::Close)]
#[actix_rt::test]
async fn chunked_text_is_whole_after_its_last_chunk(#[case] then: Then) {
    let reply = Reply::new(&format!("{CHUNKED_TEXT}0\n\n"), then);
    let upstream = Scripted::start(vec![reply]).await;
    let rig = Rig::start(upstream.address, false);
    let answer = rig.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
    assert_eq!(dechunk(&answer), ("hello".to_owned(), true));
    assert_eq!(rig.metric("comfreyway_answered_total{class=\"ask\"}"), 1);
}

#[actix_rt::test]
async fn chunked_text_that_is_cut_between_two_chunks_is_unknown() {
    let upstream = Scripted::start(vec![Reply::new(CHUNKED_TEXT, Then::Close)]).await;
    let rig = Rig::start(upstream.address, false);
    let answer = rig.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
    assert_eq!(dechunk(&answer), ("hello".to_owned(), false));
    assert_eq!(rig.metric("comfreyway_unknown_total{reason=\"upstream-broke\"}"), 1);
    assert_eq!(upstream.requests().len(), 1);
}

#[actix_rt::test]
async fn closed_connection_of_the_pool_is_not_used_again() {
    let replies = vec![
        Reply { then: Then::Close, ..Reply::json("{\"n\":1}") },
        Reply { then: Then::Close, ..Reply::json("{\"n\":2}") },
    ];
    let upstream = Scripted::start(replies).await;
    let rig = Rig::start(upstream.address, false);
    for n in 1..=2 {
        let answer = rig.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
        assert!(answer.ends_with(&format!("{{\"n\":{n}}}")), "{answer}");
    }
}

#[rstest]
#[case::leaving("HTTP/1.1 503 No\ncomfreyway-leaving: true\ncontent-length: 0\n\n", "no-runner")]
#[case::fenced("HTTP/1.1 412 No\ncontent-length: 0\n\n", "no-owner")]
#[actix_rt::test]
async fn request_that_the_upstream_turned_away_was_not_run(
    #[case] reply: &str,
    #[case] reason: &str,
) {
    let upstream = Scripted::start(vec![Reply::new(reply, Then::Keep)]).await;
    let rig = Rig::start(upstream.address, false);
    let answer = rig.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
    assert!(answer.contains("comfreyway-outcome: not-run\r\n"), "{answer}");
    assert!(answer.contains(&format!("comfreyway-reason: {reason}\r\n")), "{answer}");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    assert_eq!(upstream.requests().len(), 1);
}

#[actix_rt::test]
async fn refused_connection_is_not_run() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let rig = Rig::start(closed, false);
    let headers = [WORKSPACE, "comfreyway-class: soon"];
    let answer = rig.send(&request("GET /rack/1", &headers, "")).await;
    assert!(answer.contains("comfreyway-outcome: not-run\r\n"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert!(rig.metric("comfreyway_retries_total{reason=\"connect-refused\"}") >= 1);
}

#[actix_rt::test]
async fn stopping_daemon_takes_no_new_request() {
    let upstream = Scripted::start(Vec::new()).await;
    let rig = Rig::start(upstream.address, false);
    rig.traffic.set_phase(Phase::Draining);
    rig.traffic.set_phase(Phase::Serving);
    let answer = rig.send(&request("GET /rack/1", &[WORKSPACE], "")).await;
    assert!(answer.contains("comfreyway-reason: stopping\r\n"), "{answer}");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    assert!(upstream.requests().is_empty());
}

#[actix_rt::test]
async fn leaving_runner_gets_no_new_request() {
    let leaving = "HTTP/1.1 200 OK\ncomfreyway-leaving: true\ncontent-length: 2\n\nok";
    let upstream = Scripted::start(vec![Reply::new(leaving, Then::Keep)]).await;
    let rig = Rig::start(upstream.address, false);
    let headers = [WORKSPACE, "comfreyway-class: soon"];
    let answer = rig.send(&request("GET /rack/1", &headers, "")).await;
    assert!(answer.ends_with("ok"), "{answer}");
    let answer = rig.send(&request("GET /rack/1", &headers, "")).await;
    assert!(answer.contains("comfreyway-outcome: not-run\r\n"), "{answer}");
    assert_eq!(upstream.requests().len(), 1);
}

//! Streams of events: byte for byte, cut, resumed, cancelled.

use std::sync::Arc;

use rstest::rstest;
use tokio::{io::AsyncReadExt, sync::Notify};

use crate::{
    harness::{Harness, chat, dechunk},
    scripted_upstream::{AfterResponse, ScriptedResponse, ScriptedUpstream},
};

const EVENT_1: &str = "id: 1\ndata: {\"n\":1}\n\n";
const EVENT_2: &str = "id: 2\ndata: {\"n\":2}\n\n";
const END_EVENT: &str = "id: 3\ndata: [DONE]\n\n";

#[rstest]
#[case::whole_events(&[EVENT_1, EVENT_2, END_EVENT])]
#[case::split_events(&["id: 1\nda", "ta: {\"n\":1}\n", "\nid: 2\ndata: {}\n\nid: 3\ndata: [DO", "NE]\n\n"])]
#[case::carriage_returns(&["data: {}\r\n\r\n", ": note\r\n\r\ndata: [DONE]\r\n\r\n"])]
#[actix_rt::test]
async fn stream_arrives_byte_for_byte(#[case] chunks: &[&str]) {
    let upstream =
        ScriptedUpstream::start(vec![ScriptedResponse::events(chunks, true, AfterResponse::Keep)])
            .await;
    let harness = Harness::start(upstream.address, false);
    let response = harness.send(&chat(&[], true)).await;
    assert!(response.contains("comfreyway-request-id: "), "{response}");
    assert_eq!(dechunk(&response), (chunks.concat(), true));
    assert_eq!(harness.metric("comfreyway_answered_total{class=\"ask\"}"), 1);
}

#[rstest]
#[case::between_events(&[EVENT_1], false)]
#[case::in_an_event(&[EVENT_1, "id: 2\nda"], false)]
#[case::clean_end_without_end_mark(&[EVENT_1, EVENT_2], true)]
#[actix_rt::test]
async fn cut_stream_ends_with_its_outcome_and_no_clean_end(
    #[case] chunks: &[&str],
    #[case] last: bool,
) {
    let upstream =
        ScriptedUpstream::start(vec![ScriptedResponse::events(chunks, last, AfterResponse::Close)])
            .await;
    let harness = Harness::start(upstream.address, false);
    let response = harness.send(&chat(&[], true)).await;
    let (body, clean) = dechunk(&response);
    let rest = body.strip_prefix(&chunks.concat()).unwrap();
    assert!(rest.starts_with("\n\nevent: comfreyway-outcome\ndata: "), "{rest}");
    assert!(rest.contains(r#""outcome":"unknown","reason":"upstream-broke""#), "{rest}");
    assert!(!clean && !body.contains("[DONE]"), "{body}");
    assert_eq!(harness.metric("comfreyway_unknown_total{reason=\"upstream-broke\"}"), 1);
    assert_eq!(upstream.requests().len(), 1);
}

#[rstest]
#[case::between_events(&[EVENT_1], &[EVENT_2, END_EVENT], 1)]
#[case::in_an_event(&[EVENT_1, "id: 2\nda"], &[EVENT_2, END_EVENT], 1)]
#[case::before_the_first(&["id: 1"], &[EVENT_1, EVENT_2, END_EVENT], 0)]
#[actix_rt::test]
async fn cut_stream_is_resumed_at_the_exact_byte(
    #[case] before: &[&str],
    #[case] resumed: &[&str],
    #[case] last_event: u64,
) {
    let script = vec![
        ScriptedResponse::events(before, false, AfterResponse::Close),
        ScriptedResponse::events(resumed, true, AfterResponse::Keep),
    ];
    let upstream = ScriptedUpstream::start(script).await;
    let harness = Harness::start(upstream.address, true);
    let response = harness.send(&chat(&[], true)).await;
    assert_eq!(dechunk(&response), ([EVENT_1, EVENT_2, END_EVENT].concat(), true));
    let requests = upstream.requests();
    assert_eq!(requests.len(), 2);
    assert!(requests[1].contains(&format!("last-event-id: {last_event}\r\n")), "{}", requests[1]);
    let id = |request: &str| {
        let (_, rest) = request.split_once("comfreyway-request-id: ").unwrap();
        rest[..32].to_owned()
    };
    assert_eq!(id(&requests[0]), id(&requests[1]));
}

#[actix_rt::test]
async fn response_cut_before_its_head_is_resumed() {
    let body = r#"{"id":"x"}"#;
    let script =
        vec![ScriptedResponse::new("", AfterResponse::Close), ScriptedResponse::json(body)];
    let upstream = ScriptedUpstream::start(script).await;
    let harness = Harness::start(upstream.address, true);
    let response = harness.send(&chat(&[], false)).await;
    assert!(response.ends_with(body), "{response}");
    assert!(upstream.requests()[1].contains("last-event-id: 0\r\n"));
}

#[actix_rt::test]
async fn broken_stream_is_unknown_if_the_engine_does_not_know_the_request() {
    let not_found =
        ScriptedResponse::new("HTTP/1.1 404 No\ncontent-length: 0\n\n", AfterResponse::Keep);
    let script = vec![ScriptedResponse::events(&[EVENT_1], false, AfterResponse::Close), not_found];
    let upstream = ScriptedUpstream::start(script).await;
    let harness = Harness::start(upstream.address, true);
    let (body, clean) = dechunk(&harness.send(&chat(&[], true)).await);
    assert!(body.contains(r#""outcome":"unknown""#) && !clean, "{body}");
    assert_eq!(upstream.requests().len(), 2);
}

#[actix_rt::test]
async fn stream_is_cancelled_when_its_caller_disconnects() {
    let cancelled = ScriptedResponse::new("HTTP/1.1 204 No Content\n\n", AfterResponse::Keep);
    let script = vec![ScriptedResponse::events(&[EVENT_1], false, AfterResponse::Hold), cancelled];
    let upstream = ScriptedUpstream::start(script).await;
    let harness = Harness::start(upstream.address, false);
    let mut caller = harness.open(&chat(&[], true)).await;
    read_until(&mut caller, EVENT_1).await;
    drop(caller);
    let requests = upstream.wait_for(2).await;
    assert!(requests[1].starts_with("DELETE /v1/requests/"), "{}", requests[1]);
    harness.wait_idle().await;
    assert_eq!(harness.metric("comfreyway_unknown_total{reason=\"caller-gone\"}"), 1);
}

#[actix_rt::test]
async fn stream_of_a_non_cancellable_class_continues_when_its_caller_disconnects() {
    let signal = Arc::new(Notify::new());
    let rest = "14\r\nid: 3\ndata: [DONE]\n\n\r\n0\r\n\r\n";
    let after = AfterResponse::WaitAndSend(Arc::clone(&signal), rest);
    let upstream =
        ScriptedUpstream::start(vec![ScriptedResponse::events(&[EVENT_1], false, after)]).await;
    let harness = Harness::start(upstream.address, false);
    let mut caller = harness.open(&chat(&["comfreyway-class: keep"], true)).await;
    read_until(&mut caller, EVENT_1).await;
    drop(caller);
    signal.notify_one();
    harness.wait_idle().await;
    assert_eq!(harness.metric("comfreyway_answered_total{class=\"keep\"}"), 1);
    assert_eq!(upstream.requests().len(), 1);
}

async fn read_until(stream: &mut tokio::net::TcpStream, text: &str) {
    let mut buf = Vec::new();
    while !String::from_utf8_lossy(&buf).contains(text) {
        assert_ne!(stream.read_buf(&mut buf).await.unwrap(), 0);
    }
}

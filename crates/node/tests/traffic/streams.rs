//! Streams of events: byte for byte, cut, resumed, cancelled.

use std::sync::Arc;

use rstest::rstest;
use tokio::{io::AsyncReadExt, sync::Notify};

use crate::{
    rig::{Rig, chat, dechunk},
    scripted::{Reply, Scripted, Then},
};

const ONE: &str = "id: 1\ndata: {\"n\":1}\n\n";
const TWO: &str = "id: 2\ndata: {\"n\":2}\n\n";
const END: &str = "id: 3\ndata: [DONE]\n\n";

#[rstest]
#[case::whole_events(&[ONE, TWO, END])]
#[case::split_events(&["id: 1\nda", "ta: {\"n\":1}\n", "\nid: 2\ndata: {}\n\nid: 3\ndata: [DO", "NE]\n\n"])]
#[case::carriage_returns(&["data: {}\r\n\r\n", ": note\r\n\r\ndata: [DONE]\r\n\r\n"])]
#[actix_rt::test]
async fn stream_arrives_byte_for_byte(#[case] chunks: &[&str]) {
    let upstream = Scripted::start(vec![Reply::events(chunks, true, Then::Keep)]).await;
    let rig = Rig::start(upstream.address, false);
    let answer = rig.send(&chat(&[], true)).await;
    assert!(answer.contains("comfreyway-request-id: "), "{answer}");
    assert_eq!(dechunk(&answer), (chunks.concat(), true));
    assert_eq!(rig.metric("comfreyway_answered_total{class=\"ask\"}"), 1);
}

#[rstest]
#[case::between_events(&[ONE], false)]
#[case::in_an_event(&[ONE, "id: 2\nda"], false)]
#[case::clean_end_without_end_mark(&[ONE, TWO], true)]
#[actix_rt::test]
async fn cut_stream_ends_with_its_outcome_and_no_clean_end(
    #[case] chunks: &[&str],
    #[case] last: bool,
) {
    let upstream = Scripted::start(vec![Reply::events(chunks, last, Then::Close)]).await;
    let rig = Rig::start(upstream.address, false);
    let answer = rig.send(&chat(&[], true)).await;
    let (body, clean) = dechunk(&answer);
    let rest = body.strip_prefix(&chunks.concat()).unwrap();
    assert!(rest.starts_with("\n\nevent: comfreyway-outcome\ndata: "), "{rest}");
    assert!(rest.contains(r#""outcome":"unknown","reason":"upstream-broke""#), "{rest}");
    assert!(!clean && !body.contains("[DONE]"), "{body}");
    assert_eq!(rig.metric("comfreyway_unknown_total{reason=\"upstream-broke\"}"), 1);
    assert_eq!(upstream.requests().len(), 1);
}

#[rstest]
#[case::between_events(&[ONE], &[TWO, END], 1)]
#[case::in_an_event(&[ONE, "id: 2\nda"], &[TWO, END], 1)]
#[case::before_the_first(&["id: 1"], &[ONE, TWO, END], 0)]
#[actix_rt::test]
async fn cut_stream_is_resumed_at_the_exact_byte(
    #[case] before: &[&str],
    #[case] after: &[&str],
    #[case] last_event: u64,
) {
    let replies =
        vec![Reply::events(before, false, Then::Close), Reply::events(after, true, Then::Keep)];
    let upstream = Scripted::start(replies).await;
    let rig = Rig::start(upstream.address, true);
    let answer = rig.send(&chat(&[], true)).await;
    assert_eq!(dechunk(&answer), ([ONE, TWO, END].concat(), true));
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
async fn answer_lost_before_its_head_is_resumed() {
    let body = r#"{"id":"x"}"#;
    let replies = vec![Reply::new("", Then::Close), Reply::json(body)];
    let upstream = Scripted::start(replies).await;
    let rig = Rig::start(upstream.address, true);
    let answer = rig.send(&chat(&[], false)).await;
    assert!(answer.ends_with(body), "{answer}");
    assert!(upstream.requests()[1].contains("last-event-id: 0\r\n"));
}

#[actix_rt::test]
async fn engine_that_does_not_know_the_request_leaves_it_unknown() {
    let gone = Reply::new("HTTP/1.1 404 No\ncontent-length: 0\n\n", Then::Keep);
    let replies = vec![Reply::events(&[ONE], false, Then::Close), gone];
    let upstream = Scripted::start(replies).await;
    let rig = Rig::start(upstream.address, true);
    let (body, clean) = dechunk(&rig.send(&chat(&[], true)).await);
    assert!(body.contains(r#""outcome":"unknown""#) && !clean, "{body}");
    assert_eq!(upstream.requests().len(), 2);
}

#[actix_rt::test]
async fn stream_is_cancelled_when_its_caller_leaves() {
    let cancelled = Reply::new("HTTP/1.1 204 No Content\n\n", Then::Keep);
    let replies = vec![Reply::events(&[ONE], false, Then::Hold), cancelled];
    let upstream = Scripted::start(replies).await;
    let rig = Rig::start(upstream.address, false);
    let mut caller = rig.open(&chat(&[], true)).await;
    read_until(&mut caller, ONE).await;
    drop(caller);
    let requests = upstream.wait_for(2).await;
    assert!(requests[1].starts_with("DELETE /v1/requests/"), "{}", requests[1]);
    rig.wait_idle().await;
    assert_eq!(rig.metric("comfreyway_unknown_total{reason=\"caller-gone\"}"), 1);
}

#[actix_rt::test]
async fn stream_of_a_class_that_may_not_be_cancelled_runs_on() {
    let signal = Arc::new(Notify::new());
    let rest = "14\r\nid: 3\ndata: [DONE]\n\n\r\n0\r\n\r\n";
    let then = Then::WaitAndSend(Arc::clone(&signal), rest);
    let upstream = Scripted::start(vec![Reply::events(&[ONE], false, then)]).await;
    let rig = Rig::start(upstream.address, false);
    let mut caller = rig.open(&chat(&["comfreyway-class: keep"], true)).await;
    read_until(&mut caller, ONE).await;
    drop(caller);
    signal.notify_one();
    rig.wait_idle().await;
    assert_eq!(rig.metric("comfreyway_answered_total{class=\"keep\"}"), 1);
    assert_eq!(upstream.requests().len(), 1);
}

async fn read_until(stream: &mut tokio::net::TcpStream, text: &str) {
    let mut buf = Vec::new();
    while !String::from_utf8_lossy(&buf).contains(text) {
        assert_ne!(stream.read_buf(&mut buf).await.unwrap(), 0);
    }
}

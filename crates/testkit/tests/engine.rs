//! Tests that the engine stand-in follows `docs/design/upstream-protocol.md`.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use awc::{Client, ClientRequest, error::PayloadError, http::StatusCode};
use bytes::Bytes;
use comfreyway_proto::headers;
use comfreyway_testkit::{
    Leaving,
    engine::{CacheEvents, EngineSettings, EngineStandIn, LoadReport},
};
use futures_util::{Stream, StreamExt};
use rstest::rstest;
use serde_json::{Value, json};

fn start(settings: EngineSettings) -> EngineStandIn {
    EngineStandIn::start(settings).unwrap()
}

fn post(engine: &EngineStandIn, id: &str) -> ClientRequest {
    let url = format!("http://{}/v1/chat/completions", engine.address());
    Client::default().post(url).insert_header((headers::REQUEST_ID, id))
}

fn get(engine: &EngineStandIn, path: &str) -> ClientRequest {
    Client::default().get(format!("http://{}{path}", engine.address()))
}

fn chat(content: &str, max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": "m",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
}

/// Returns the received part of the body, and whether it is complete. The client
/// library doesn't report a body that was cut between two chunks.
async fn body(req: ClientRequest, chat: &Value) -> (String, bool) {
    let mut res = req.send_json(chat).await.unwrap();
    assert_eq!(res.status(), StatusCode::OK);
    let text = read(&mut res).await;
    let complete =
        text.ends_with("data: [DONE]\n\n") || serde_json::from_str::<Value>(&text).is_ok();
    (text, complete)
}

async fn read<S>(res: &mut S) -> String
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut text = Vec::new();
    while let Some(Ok(bytes)) = res.next().await {
        text.extend_from_slice(&bytes);
    }
    String::from_utf8(text).unwrap()
}

async fn cached_tokens(engine: &EngineStandIn, content: &str) -> u64 {
    let (text, _) = body(post(engine, ""), &chat(content, 1, false)).await;
    let response: Value = serde_json::from_str(&text).unwrap();
    response["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap()
}

#[actix_rt::test]
async fn streamed_events_are_numbered_and_end_with_done() {
    let engine = start(EngineSettings::new());
    let (text, complete) = body(post(&engine, "a"), &chat("hello", 3, true)).await;
    assert!(complete);
    let events: Vec<_> = text.split_terminator("\n\n").collect();
    assert_eq!(events.len(), 5);
    for (i, event) in events.iter().enumerate() {
        assert!(event.starts_with(&format!("id: {}\ndata: ", i + 1)), "{event}");
    }
    assert_eq!(events[4], "id: 5\ndata: [DONE]");
    let again = body(post(&engine, "b"), &chat("hello", 3, true)).await;
    assert_ne!(again.0, body(post(&engine, "c"), &chat("other", 3, true)).await.0);
    assert_eq!(again.0.split("usage").next(), text.split("usage").next());
    assert_eq!(engine.log().count(), 3);
    assert_eq!(engine.log().count_of("a"), 1);
}

#[rstest]
#[case::from_the_start(0)]
#[case::in_the_middle(2)]
#[case::before_done(4)]
#[actix_rt::test]
async fn cut_stream_resumes_after_its_last_event(#[case] events: u32) {
    let engine = start(EngineSettings::new());
    let request = chat("hello", 3, true);
    let (whole, _) = body(post(&engine, "a"), &request).await;
    engine.cut_next_stream(events);
    let (first, complete) = body(post(&engine, "b"), &request).await;
    assert!(!complete);
    assert_eq!(first.matches("\n\n").count(), events as usize);
    let resume = post(&engine, "b").insert_header((headers::LAST_EVENT_ID, events.to_string()));
    let (rest, complete) = body(resume, &request).await;
    assert!(complete);
    let strip = |s: &str| s.replace("\"cached_tokens\":0", "");
    assert_eq!(strip(&(first + &rest)), strip(&whole));
    assert_eq!((engine.log().count(), engine.resumes()), (2, 1));
}

#[actix_rt::test]
async fn engine_without_resume_cancels_request_on_disconnect() {
    let engine = start(EngineSettings::new().with_resume(false));
    engine.cut_next_stream(1);
    let (_, complete) = body(post(&engine, "a"), &chat("hello", 3, true)).await;
    assert!(!complete);
    let resume = post(&engine, "a").insert_header((headers::LAST_EVENT_ID, "1"));
    let res = resume.send_json(&chat("hello", 3, true)).await.unwrap();
    assert_eq!(res.status(), StatusCode::NOT_FOUND);
}

#[actix_rt::test]
async fn cancelled_stream_ends_without_done() {
    let engine = start(EngineSettings::new().with_rates(f64::INFINITY, 1000.0));
    let mut res = post(&engine, "a").send_json(&chat("hello", 1_000_000, true)).await.unwrap();
    res.next().await.unwrap().unwrap();
    let url = format!("http://{}/v1/requests/a", engine.address());
    let cancelled = Client::default().delete(&url).send().await.unwrap();
    assert_eq!(cancelled.status(), StatusCode::NO_CONTENT);
    assert!(!read(&mut res).await.contains("[DONE]"));
    let again = Client::default().delete(&url).send().await.unwrap();
    assert_eq!(again.status(), StatusCode::NOT_FOUND);
    let resume = post(&engine, "a").insert_header((headers::LAST_EVENT_ID, "1"));
    let res = resume.send_json(&chat("hello", 3, true)).await.unwrap();
    assert_eq!(res.status(), StatusCode::GONE);
}

#[actix_rt::test]
async fn prompts_share_cached_prefixes_until_they_are_evicted() {
    let engine = start(EngineSettings::new().with_cache_tokens(64));
    let prompt = "x".repeat(250);
    assert_eq!(cached_tokens(&engine, &prompt).await, 0);
    assert_eq!(cached_tokens(&engine, &format!("{prompt}y")).await, 48);
    assert_eq!(cached_tokens(&engine, &"z".repeat(300)).await, 0);
    assert!(cached_tokens(&engine, &prompt).await < 48);
}

#[actix_rt::test]
async fn every_second_cache_event_is_lost() {
    let engine = start(EngineSettings::new().with_cache_events(Duration::ZERO, Some(2)));
    for content in ["a", "b", "c"] {
        cached_tokens(&engine, &content.repeat(100)).await;
    }
    let mut res = get(&engine, "/v1/cache-events?after=0").send().await.unwrap();
    let events: CacheEvents = res.json().await.unwrap();
    let numbers: Vec<_> = events.events.iter().map(|event| event.seq).collect();
    assert_eq!((numbers, events.last), (vec![1, 3], 3));
    let mut res = get(&engine, "/v1/cache-events?after=1").send().await.unwrap();
    let events: CacheEvents = res.json().await.unwrap();
    assert_eq!(events.events.len(), 1);
}

#[rstest]
#[case::at_once(Duration::ZERO, (1, 1))]
#[case::lagging(Duration::from_secs(3600), (0, 0))]
#[actix_rt::test]
async fn load_is_reported_with_its_lag(#[case] lag: Duration, #[case] expected: (u32, u32)) {
    let engine = start(
        EngineSettings::new().with_load_lag(lag).with_max_batch(1).with_rates(f64::INFINITY, 10.0),
    );
    let request = chat("hello", 1000, true);
    let mut first = post(&engine, "a").send_json(&request).await.unwrap();
    first.next().await.unwrap().unwrap();
    let _second = post(&engine, "b").send_json(&request).await.unwrap();
    engine.log().reached(2).await;
    let mut res = get(&engine, "/v1/load").send().await.unwrap();
    let report: LoadReport = res.json().await.unwrap();
    assert_eq!((report.running, report.waiting), expected);
}

#[actix_rt::test]
async fn requests_join_the_batch_in_order_of_arrival() {
    let engine = start(EngineSettings::new().with_max_batch(1));
    engine.gate().close();
    let first = post(&engine, "a").send_json(&chat("hello", 5, true)).await.unwrap();
    engine.log().reached(1).await;
    let second = post(&engine, "b").send_json(&chat("hello", 5, true)).await.unwrap();
    engine.log().reached(2).await;
    engine.gate().open();
    for mut res in [second, first] {
        assert!(res.body().await.unwrap().ends_with(b"data: [DONE]\n\n"));
    }
    let ids: Vec<_> = engine.log().runs().into_iter().map(|run| run.request_id).collect();
    assert_eq!(ids, ["a", "b"]);
}

#[rstest]
#[case::checked(true, StatusCode::PRECONDITION_FAILED, 1)]
#[case::ignored(false, StatusCode::OK, 2)]
#[actix_rt::test]
async fn old_fencing_number_is_refused_if_checked(
    #[case] checks: bool,
    #[case] status: StatusCode,
    #[case] runs: usize,
) {
    let engine = start(EngineSettings::new().with_fencing(checks));
    let request = chat("hello", 1, false);
    let new = post(&engine, "a").insert_header((headers::FENCING, "10.0"));
    assert_eq!(new.send_json(&request).await.unwrap().status(), StatusCode::OK);
    let old = post(&engine, "b").insert_header((headers::FENCING, "9.3"));
    assert_eq!(old.send_json(&request).await.unwrap().status(), status);
    assert_eq!(engine.log().count(), runs);
}

#[rstest]
#[case::announced(Leaving::Announced, StatusCode::OK, 1)]
#[case::refusing(Leaving::Refusing, StatusCode::SERVICE_UNAVAILABLE, 0)]
#[actix_rt::test]
async fn leaving_engine_sets_the_leaving_header(
    #[case] leaving: Leaving,
    #[case] status: StatusCode,
    #[case] runs: usize,
) {
    let engine = start(EngineSettings::new());
    engine.set_leaving(leaving);
    let res = post(&engine, "a").send_json(&chat("hello", 1, false)).await.unwrap();
    assert_eq!(res.status(), status);
    assert_eq!(res.headers().get(headers::LEAVING).unwrap(), "true");
    assert_eq!(engine.log().count(), runs);
}

#[actix_rt::test]
async fn bad_request_runs_nothing() {
    let engine = start(EngineSettings::new());
    let res = post(&engine, "a").send_body("{").await.unwrap();
    assert_eq!(res.status(), StatusCode::BAD_REQUEST);
    assert_eq!(engine.log().count(), 0);
}

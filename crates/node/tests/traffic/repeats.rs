//! Repeats of a request with the same idempotency key. The tests decide in place
//! of the control thread which request is a repeat.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use comfreyway_core::{
    ids::{Epoch, RequestId},
    outcome::NotRunReason,
};
use comfreyway_node::{
    control::{Decision, Progress, Submission, WorkerMessage},
    http::serve_result,
};
use comfreyway_proto::result::RESULTS_PATH_PREFIX;
use rstest::rstest;
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc::UnboundedReceiver},
};
use tokio_tungstenite::{
    accept_hdr_async,
    tungstenite::handshake::server::{Request, Response},
};

use crate::{
    harness::{Harness, chat, dechunk},
    scripted_upstream::{AfterResponse, ScriptedResponse, ScriptedUpstream},
};

const EVENT_1: &str = "id: 1\ndata: {\"n\":1}\n\n";
const END_CHUNK: &str = "14\r\nid: 2\ndata: [DONE]\n\n\r\n0\r\n\r\n";
const KEY: &str = "idempotency-key: k1";
const ONCE_CLASS: &str = "comfreyway-class: once";

type SubmissionQueue = UnboundedReceiver<WorkerMessage>;

async fn next_submission(queue: &mut SubmissionQueue) -> Submission {
    loop {
        if let WorkerMessage::Submit(submission) = queue.recv().await.unwrap() {
            return submission;
        }
    }
}

async fn wait_until_ended(queue: &mut SubmissionQueue) {
    loop {
        let message = queue.recv().await.unwrap();
        if let WorkerMessage::Progress { progress: Progress::Ended(_), .. } = message {
            return;
        }
    }
}

fn dispatch(submission: &Submission, upstream: &ScriptedUpstream) {
    let decision = Decision::Dispatch {
        runner: "r1".parse().unwrap(),
        address: upstream.address,
        epoch: Epoch::default(),
    };
    submission.decisions.send(decision).unwrap();
}

fn attach(submission: &Submission, first: RequestId) {
    submission.decisions.send(Decision::Attach { id: first, holder: None }).unwrap();
}

async fn read_all(mut stream: TcpStream) -> String {
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    response
}

async fn read_until(stream: &mut TcpStream, text: &str) {
    let mut buf = Vec::new();
    while !String::from_utf8_lossy(&buf).contains(text) {
        assert_ne!(stream.read_buf(&mut buf).await.unwrap(), 0);
    }
}

#[actix_rt::test]
async fn repeat_reads_a_running_stream_from_its_start() {
    let signal = Arc::new(Notify::new());
    let after = AfterResponse::WaitAndSend(Arc::clone(&signal), END_CHUNK);
    let upstream =
        ScriptedUpstream::start(vec![ScriptedResponse::events(&[EVENT_1], false, after)]).await;
    let (harness, mut queue) = Harness::without_control(upstream.address, false);
    let mut first = harness.open(&chat(&[KEY, ONCE_CLASS], true)).await;
    let submitted = next_submission(&mut queue).await;
    dispatch(&submitted, &upstream);
    read_until(&mut first, EVENT_1).await;
    let mut repeat = harness.open(&chat(&[KEY, ONCE_CLASS], true)).await;
    let repeated = next_submission(&mut queue).await;
    assert_eq!(repeated.key, submitted.key);
    attach(&repeated, submitted.id);
    read_until(&mut repeat, EVENT_1).await;
    signal.notify_one();
    let (rest_of_first, rest_of_repeat) = tokio::join!(read_all(first), read_all(repeat));
    assert_eq!(rest_of_first, END_CHUNK);
    assert_eq!(rest_of_repeat, END_CHUNK);
    harness.wait_idle().await;
    assert_eq!(upstream.requests().len(), 1);
    assert_eq!(harness.metric("comfreyway_repeats_total"), 1);
}

#[actix_rt::test]
async fn repeat_gets_the_finished_response() {
    let upstream = ScriptedUpstream::start(vec![ScriptedResponse::json("{\"n\":1}")]).await;
    let (harness, mut queue) = Harness::without_control(upstream.address, false);
    let first = harness.open(&chat(&[KEY, ONCE_CLASS], false)).await;
    let submitted = next_submission(&mut queue).await;
    dispatch(&submitted, &upstream);
    let first = read_all(first).await;
    let repeat = harness.open(&chat(&[KEY, ONCE_CLASS], false)).await;
    attach(&next_submission(&mut queue).await, submitted.id);
    let repeat = read_all(repeat).await;
    let id = format!("comfreyway-request-id: {}\r\n", submitted.id);
    for response in [first, repeat] {
        assert!(response.contains("comfreyway-outcome: answered\r\n"), "{response}");
        assert!(response.contains(&id), "{response}");
        assert!(response.ends_with("{\"n\":1}"), "{response}");
    }
    assert_eq!(upstream.requests().len(), 1);
}

#[actix_rt::test]
async fn repeat_gets_the_response_whose_first_caller_disconnected() {
    let signal = Arc::new(Notify::new());
    let after = AfterResponse::WaitAndSend(Arc::clone(&signal), END_CHUNK);
    let upstream =
        ScriptedUpstream::start(vec![ScriptedResponse::events(&[EVENT_1], false, after)]).await;
    let (harness, mut queue) = Harness::without_control(upstream.address, false);
    let mut first = harness.open(&chat(&[KEY, ONCE_CLASS], true)).await;
    let submitted = next_submission(&mut queue).await;
    dispatch(&submitted, &upstream);
    read_until(&mut first, EVENT_1).await;
    drop(first);
    signal.notify_one();
    wait_until_ended(&mut queue).await;
    let repeat = harness.open(&chat(&[KEY, ONCE_CLASS], true)).await;
    attach(&next_submission(&mut queue).await, submitted.id);
    let (body, clean) = dechunk(&read_all(repeat).await);
    assert!(body.starts_with(EVENT_1) && body.ends_with("data: [DONE]\n\n") && clean, "{body}");
    assert_eq!(upstream.requests().len(), 1);
}

#[actix_rt::test]
async fn repeat_of_a_request_that_was_not_run_gets_the_same_refusal() {
    let upstream = ScriptedUpstream::start(Vec::new()).await;
    let (harness, mut queue) = Harness::without_control(upstream.address, false);
    let first = harness.open(&chat(&[KEY, ONCE_CLASS], false)).await;
    let submitted = next_submission(&mut queue).await;
    let repeat = harness.open(&chat(&[KEY, ONCE_CLASS], false)).await;
    attach(&next_submission(&mut queue).await, submitted.id);
    let (reason, retry_after) = (NotRunReason::Shed, Duration::from_millis(2_500));
    submitted.decisions.send(Decision::NotRun { reason, retry_after }).unwrap();
    for stream in [first, repeat] {
        let response = read_all(stream).await;
        assert!(response.contains("comfreyway-reason: shed\r\n"), "{response}");
        assert!(response.contains("retry-after: 3\r\n"), "{response}");
        assert!(response.contains(r#""retry_after_ms":2500"#), "{response}");
    }
    assert!(upstream.requests().is_empty());
}

#[actix_rt::test]
async fn repeat_of_a_broken_stream_ends_as_the_first_did() {
    let upstream = ScriptedUpstream::start(vec![ScriptedResponse::events(
        &[EVENT_1],
        false,
        AfterResponse::Close,
    )])
    .await;
    let (harness, mut queue) = Harness::without_control(upstream.address, false);
    let first = harness.open(&chat(&[KEY, ONCE_CLASS], true)).await;
    let submitted = next_submission(&mut queue).await;
    dispatch(&submitted, &upstream);
    let first = dechunk(&read_all(first).await);
    let repeat = harness.open(&chat(&[KEY, ONCE_CLASS], true)).await;
    attach(&next_submission(&mut queue).await, submitted.id);
    assert_eq!(dechunk(&read_all(repeat).await), first);
    assert!(first.0.contains(r#""outcome":"unknown""#) && !first.1, "{}", first.0);
}

#[actix_rt::test]
async fn response_too_large_to_record_is_delivered_once() {
    let body = format!("{{\"text\":\"{}\"}}", "x".repeat(2_000));
    let upstream = ScriptedUpstream::start(vec![ScriptedResponse::json(&body)]).await;
    let (harness, mut queue) = Harness::without_control(upstream.address, false);
    let first = harness.open(&chat(&[KEY, ONCE_CLASS], false)).await;
    let submitted = next_submission(&mut queue).await;
    dispatch(&submitted, &upstream);
    assert!(read_all(first).await.ends_with(&body));
    let repeat = harness.open(&chat(&[KEY, ONCE_CLASS], false)).await;
    attach(&next_submission(&mut queue).await, submitted.id);
    let response = read_all(repeat).await;
    assert!(response.contains("comfreyway-outcome: unknown\r\n"), "{response}");
    assert!(response.contains("comfreyway-reason: result-expired\r\n"), "{response}");
}

#[actix_rt::test]
async fn oldest_recordings_are_evicted() {
    let body = format!("{{\"text\":\"{}\"}}", "x".repeat(900));
    let upstream = ScriptedUpstream::start(vec![ScriptedResponse::json(&body); 10]).await;
    let (harness, mut queue) = Harness::without_control(upstream.address, false);
    let mut ids = Vec::new();
    for n in 0..10 {
        let key = format!("idempotency-key: k{n}");
        let stream = harness.open(&chat(&[&key, ONCE_CLASS], false)).await;
        let submitted = next_submission(&mut queue).await;
        dispatch(&submitted, &upstream);
        assert!(read_all(stream).await.ends_with(&body));
        ids.push(submitted.id);
    }
    for (id, reason) in [(ids[0], "result-expired"), (ids[9], "")] {
        let stream = harness.open(&chat(&[KEY, ONCE_CLASS], false)).await;
        attach(&next_submission(&mut queue).await, id);
        let response = read_all(stream).await;
        let expired = response.contains("comfreyway-reason: result-expired\r\n");
        assert_eq!(expired, !reason.is_empty(), "{response}");
    }
}

#[actix_rt::test]
async fn waiting_request_is_withdrawn_when_its_caller_disconnects() {
    let upstream = ScriptedUpstream::start(Vec::new()).await;
    let (harness, mut queue) = Harness::without_control(upstream.address, false);
    let stream = harness.open(&chat(&[], false)).await;
    let submitted = next_submission(&mut queue).await;
    drop(stream);
    let mut reports = Vec::new();
    while reports.len() < 2 {
        if let WorkerMessage::Progress { id, progress } = queue.recv().await.unwrap() {
            assert_eq!(id, submitted.id);
            reports.push(progress);
        }
    }
    assert!(matches!(reports[0], Progress::NotSent(_)), "{reports:?}");
    assert_eq!(reports[1], Progress::CallerGone);
    assert!(submitted.decisions.is_closed());
    harness.wait_idle().await;
    assert_eq!(harness.metric("comfreyway_not_run_total{reason=\"caller-gone\"}"), 1);
    assert!(upstream.requests().is_empty());
}

#[actix_rt::test]
async fn repeat_of_a_request_whose_host_is_down_resumes_at_the_engine() {
    let body = r#"{"id":"x"}"#;
    let upstream = ScriptedUpstream::start(vec![ScriptedResponse::json(body)]).await;
    let (harness, mut queue) = Harness::without_control(upstream.address, true);
    let repeat = harness.open(&chat(&[KEY, ONCE_CLASS], false)).await;
    resume(&next_submission(&mut queue).await, &upstream);
    let response = read_all(repeat).await;
    assert!(response.ends_with(body), "{response}");
    let request = upstream.requests().remove(0);
    assert!(request.contains("last-event-id: 0\r\n"), "{request}");
    assert!(request.contains("comfreyway-request-id: 00000000000000000000000000000007\r\n"));
}

#[actix_rt::test]
async fn repeat_is_not_sent_to_an_engine_that_can_not_resume() {
    let upstream = ScriptedUpstream::start(Vec::new()).await;
    let (harness, mut queue) = Harness::without_control(upstream.address, false);
    let repeat = harness.open(&chat(&[KEY, ONCE_CLASS], false)).await;
    resume(&next_submission(&mut queue).await, &upstream);
    let response = read_all(repeat).await;
    assert!(response.contains("comfreyway-reason: holder-gone\r\n"), "{response}");
    assert!(upstream.requests().is_empty());
}

/// Starts a peers' port that serves the recordings of a host, and returns its
/// address.
async fn serve_recordings(harness: &Harness) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let traffic = harness.traffic.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut path = String::new();
            #[allow(clippy::result_large_err)]
            let callback = |req: &Request, response: Response| {
                path = req.uri().path().to_owned();
                Ok(response)
            };
            let mut socket = accept_hdr_async(stream, callback).await.unwrap();
            let id = path.strip_prefix(RESULTS_PATH_PREFIX).unwrap().parse().unwrap();
            serve_result(&traffic, id, &mut socket).await;
        }
    });
    address
}

#[actix_rt::test]
async fn repeat_at_another_host_reads_the_stream_from_the_first_host() {
    let signal = Arc::new(Notify::new());
    let after = AfterResponse::WaitAndSend(Arc::clone(&signal), END_CHUNK);
    let upstream =
        ScriptedUpstream::start(vec![ScriptedResponse::events(&[EVENT_1], false, after)]).await;
    let (here, mut queue_here) = Harness::without_control(upstream.address, false);
    let (there, mut queue_there) = Harness::without_control(upstream.address, false);
    let mut first = there.open(&chat(&[KEY, ONCE_CLASS], true)).await;
    let submitted = next_submission(&mut queue_there).await;
    dispatch(&submitted, &upstream);
    read_until(&mut first, EVENT_1).await;
    let mut repeat = here.open(&chat(&[KEY, ONCE_CLASS], true)).await;
    let decision =
        Decision::Attach { id: submitted.id, holder: Some(serve_recordings(&there).await) };
    next_submission(&mut queue_here).await.decisions.send(decision).unwrap();
    read_until(&mut repeat, EVENT_1).await;
    signal.notify_one();
    assert_eq!(read_all(repeat).await, END_CHUNK);
    assert_eq!(upstream.requests().len(), 1);
}

#[rstest]
#[case::not_recorded(true, "result-expired")]
#[case::not_reachable(false, "holder-gone")]
#[actix_rt::test]
async fn response_that_another_host_can_not_deliver_is_unknown(
    #[case] reachable: bool,
    #[case] reason: &str,
) {
    let upstream = ScriptedUpstream::start(Vec::new()).await;
    let (here, mut queue) = Harness::without_control(upstream.address, false);
    let address = match reachable {
        true => serve_recordings(&here).await,
        false => unused_address(),
    };
    let repeat = here.open(&chat(&[KEY, ONCE_CLASS], false)).await;
    let decision = Decision::Attach { id: RequestId::new(9), holder: Some(address) };
    next_submission(&mut queue).await.decisions.send(decision).unwrap();
    let response = read_all(repeat).await;
    assert!(response.contains("comfreyway-outcome: unknown\r\n"), "{response}");
    assert!(response.contains(&format!("comfreyway-reason: {reason}\r\n")), "{response}");
}

fn unused_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn resume(submission: &Submission, upstream: &ScriptedUpstream) {
    let decision = Decision::Resume {
        id: RequestId::new(7),
        runner: "r1".parse().unwrap(),
        address: upstream.address,
        epoch: Epoch::default(),
    };
    submission.decisions.send(decision).unwrap();
}

//! Repeats of a request under the same identity. The test decides in place of
//! the control thread which request is a repeat.

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
    rig::{Rig, chat, dechunk},
    scripted::{Reply, Scripted, Then},
};

const ONE: &str = "id: 1\ndata: {\"n\":1}\n\n";
const END_CHUNK: &str = "14\r\nid: 2\ndata: [DONE]\n\n\r\n0\r\n\r\n";
const KEY: &str = "idempotency-key: k1";
const ONCE: &str = "comfreyway-class: once";

type Queue = UnboundedReceiver<WorkerMessage>;

async fn submission(queue: &mut Queue) -> Submission {
    loop {
        if let WorkerMessage::Submit(submission) = queue.recv().await.unwrap() {
            return submission;
        }
    }
}

async fn ended(queue: &mut Queue) {
    loop {
        let message = queue.recv().await.unwrap();
        if let WorkerMessage::Progress { progress: Progress::Ended(_), .. } = message {
            return;
        }
    }
}

fn dispatch(submission: &Submission, upstream: &Scripted) {
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
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
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
    let then = Then::WaitAndSend(Arc::clone(&signal), END_CHUNK);
    let upstream = Scripted::start(vec![Reply::events(&[ONE], false, then)]).await;
    let (rig, mut queue) = Rig::with_open_queue(upstream.address, false);
    let mut first = rig.open(&chat(&[KEY, ONCE], true)).await;
    let submitted = submission(&mut queue).await;
    dispatch(&submitted, &upstream);
    read_until(&mut first, ONE).await;
    let mut repeat = rig.open(&chat(&[KEY, ONCE], true)).await;
    let repeated = submission(&mut queue).await;
    assert_eq!(repeated.key, submitted.key);
    attach(&repeated, submitted.id);
    read_until(&mut repeat, ONE).await;
    signal.notify_one();
    let (rest_of_first, rest_of_repeat) = tokio::join!(read_all(first), read_all(repeat));
    assert_eq!(rest_of_first, END_CHUNK);
    assert_eq!(rest_of_repeat, END_CHUNK);
    rig.wait_idle().await;
    assert_eq!(upstream.requests().len(), 1);
    assert_eq!(rig.metric("comfreyway_repeats_total"), 1);
}

#[actix_rt::test]
async fn repeat_gets_the_finished_answer() {
    let upstream = Scripted::start(vec![Reply::json("{\"n\":1}")]).await;
    let (rig, mut queue) = Rig::with_open_queue(upstream.address, false);
    let first = rig.open(&chat(&[KEY, ONCE], false)).await;
    let submitted = submission(&mut queue).await;
    dispatch(&submitted, &upstream);
    let first = read_all(first).await;
    let repeat = rig.open(&chat(&[KEY, ONCE], false)).await;
    attach(&submission(&mut queue).await, submitted.id);
    let repeat = read_all(repeat).await;
    let id = format!("comfreyway-request-id: {}\r\n", submitted.id);
    for answer in [first, repeat] {
        assert!(answer.contains("comfreyway-outcome: answered\r\n"), "{answer}");
        assert!(answer.contains(&id), "{answer}");
        assert!(answer.ends_with("{\"n\":1}"), "{answer}");
    }
    assert_eq!(upstream.requests().len(), 1);
}

#[actix_rt::test]
async fn repeat_gets_the_answer_whose_first_caller_left() {
    let signal = Arc::new(Notify::new());
    let then = Then::WaitAndSend(Arc::clone(&signal), END_CHUNK);
    let upstream = Scripted::start(vec![Reply::events(&[ONE], false, then)]).await;
    let (rig, mut queue) = Rig::with_open_queue(upstream.address, false);
    let mut first = rig.open(&chat(&[KEY, ONCE], true)).await;
    let submitted = submission(&mut queue).await;
    dispatch(&submitted, &upstream);
    read_until(&mut first, ONE).await;
    drop(first);
    signal.notify_one();
    ended(&mut queue).await;
    let repeat = rig.open(&chat(&[KEY, ONCE], true)).await;
    attach(&submission(&mut queue).await, submitted.id);
    let (body, clean) = dechunk(&read_all(repeat).await);
    assert!(body.starts_with(ONE) && body.ends_with("data: [DONE]\n\n") && clean, "{body}");
    assert_eq!(upstream.requests().len(), 1);
}

#[actix_rt::test]
async fn repeat_of_a_request_that_was_not_run_is_told_so() {
    let upstream = Scripted::start(Vec::new()).await;
    let (rig, mut queue) = Rig::with_open_queue(upstream.address, false);
    let first = rig.open(&chat(&[KEY, ONCE], false)).await;
    let submitted = submission(&mut queue).await;
    let repeat = rig.open(&chat(&[KEY, ONCE], false)).await;
    attach(&submission(&mut queue).await, submitted.id);
    let (reason, retry_after) = (NotRunReason::Shed, Duration::from_millis(2_500));
    submitted.decisions.send(Decision::NotRun { reason, retry_after }).unwrap();
    for stream in [first, repeat] {
        let answer = read_all(stream).await;
        assert!(answer.contains("comfreyway-reason: shed\r\n"), "{answer}");
        assert!(answer.contains("retry-after: 3\r\n"), "{answer}");
        assert!(answer.contains(r#""retry_after_ms":2500"#), "{answer}");
    }
    assert!(upstream.requests().is_empty());
}

#[actix_rt::test]
async fn repeat_of_a_broken_stream_ends_as_the_first_did() {
    let upstream = Scripted::start(vec![Reply::events(&[ONE], false, Then::Close)]).await;
    let (rig, mut queue) = Rig::with_open_queue(upstream.address, false);
    let first = rig.open(&chat(&[KEY, ONCE], true)).await;
    let submitted = submission(&mut queue).await;
    dispatch(&submitted, &upstream);
    let first = dechunk(&read_all(first).await);
    let repeat = rig.open(&chat(&[KEY, ONCE], true)).await;
    attach(&submission(&mut queue).await, submitted.id);
    assert_eq!(dechunk(&read_all(repeat).await), first);
    assert!(first.0.contains(r#""outcome":"unknown""#) && !first.1, "{}", first.0);
}

#[actix_rt::test]
async fn answer_too_large_to_keep_is_delivered_once() {
    let body = format!("{{\"text\":\"{}\"}}", "x".repeat(2_000));
    let upstream = Scripted::start(vec![Reply::json(&body)]).await;
    let (rig, mut queue) = Rig::with_open_queue(upstream.address, false);
    let first = rig.open(&chat(&[KEY, ONCE], false)).await;
    let submitted = submission(&mut queue).await;
    dispatch(&submitted, &upstream);
    assert!(read_all(first).await.ends_with(&body));
    let repeat = rig.open(&chat(&[KEY, ONCE], false)).await;
    attach(&submission(&mut queue).await, submitted.id);
    let answer = read_all(repeat).await;
    assert!(answer.contains("comfreyway-outcome: unknown\r\n"), "{answer}");
    assert!(answer.contains("comfreyway-reason: result-expired\r\n"), "{answer}");
}

#[actix_rt::test]
async fn oldest_answers_make_room() {
    let body = format!("{{\"text\":\"{}\"}}", "x".repeat(900));
    let upstream = Scripted::start(vec![Reply::json(&body); 10]).await;
    let (rig, mut queue) = Rig::with_open_queue(upstream.address, false);
    let mut ids = Vec::new();
    for n in 0..10 {
        let key = format!("idempotency-key: k{n}");
        let stream = rig.open(&chat(&[&key, ONCE], false)).await;
        let submitted = submission(&mut queue).await;
        dispatch(&submitted, &upstream);
        assert!(read_all(stream).await.ends_with(&body));
        ids.push(submitted.id);
    }
    for (id, reason) in [(ids[0], "result-expired"), (ids[9], "")] {
        let stream = rig.open(&chat(&[KEY, ONCE], false)).await;
        attach(&submission(&mut queue).await, id);
        let answer = read_all(stream).await;
        let expired = answer.contains("comfreyway-reason: result-expired\r\n");
        assert_eq!(expired, !reason.is_empty(), "{answer}");
    }
}

#[actix_rt::test]
async fn caller_that_leaves_while_waiting_withdraws_its_request() {
    let upstream = Scripted::start(Vec::new()).await;
    let (rig, mut queue) = Rig::with_open_queue(upstream.address, false);
    let stream = rig.open(&chat(&[], false)).await;
    let submitted = submission(&mut queue).await;
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
    rig.wait_idle().await;
    assert_eq!(rig.metric("comfreyway_not_run_total{reason=\"caller-gone\"}"), 1);
    assert!(upstream.requests().is_empty());
}

#[actix_rt::test]
async fn repeat_of_a_request_whose_host_is_gone_asks_the_engine() {
    let body = r#"{"id":"x"}"#;
    let upstream = Scripted::start(vec![Reply::json(body)]).await;
    let (rig, mut queue) = Rig::with_open_queue(upstream.address, true);
    let repeat = rig.open(&chat(&[KEY, ONCE], false)).await;
    resume(&submission(&mut queue).await, &upstream);
    let answer = read_all(repeat).await;
    assert!(answer.ends_with(body), "{answer}");
    let request = upstream.requests().remove(0);
    assert!(request.contains("last-event-id: 0\r\n"), "{request}");
    assert!(request.contains("comfreyway-request-id: 00000000000000000000000000000007\r\n"));
}

#[actix_rt::test]
async fn engine_that_can_not_resume_is_never_asked() {
    let upstream = Scripted::start(Vec::new()).await;
    let (rig, mut queue) = Rig::with_open_queue(upstream.address, false);
    let repeat = rig.open(&chat(&[KEY, ONCE], false)).await;
    resume(&submission(&mut queue).await, &upstream);
    let answer = read_all(repeat).await;
    assert!(answer.contains("comfreyway-reason: holder-gone\r\n"), "{answer}");
    assert!(upstream.requests().is_empty());
}

/// The peers' port of a host that holds answers.
async fn holder(rig: &Rig) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let traffic = rig.traffic.clone();
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
async fn repeat_at_another_host_reads_the_stream_there() {
    let signal = Arc::new(Notify::new());
    let then = Then::WaitAndSend(Arc::clone(&signal), END_CHUNK);
    let upstream = Scripted::start(vec![Reply::events(&[ONE], false, then)]).await;
    let (here, mut queue_here) = Rig::with_open_queue(upstream.address, false);
    let (there, mut queue_there) = Rig::with_open_queue(upstream.address, false);
    let mut first = there.open(&chat(&[KEY, ONCE], true)).await;
    let submitted = submission(&mut queue_there).await;
    dispatch(&submitted, &upstream);
    read_until(&mut first, ONE).await;
    let mut repeat = here.open(&chat(&[KEY, ONCE], true)).await;
    let decision = Decision::Attach { id: submitted.id, holder: Some(holder(&there).await) };
    submission(&mut queue_here).await.decisions.send(decision).unwrap();
    read_until(&mut repeat, ONE).await;
    signal.notify_one();
    assert_eq!(read_all(repeat).await, END_CHUNK);
    assert_eq!(upstream.requests().len(), 1);
}

#[rstest]
#[case::not_kept(true, "result-expired")]
#[case::not_reachable(false, "holder-gone")]
#[actix_rt::test]
async fn answer_that_another_host_lost_is_unknown(#[case] reachable: bool, #[case] reason: &str) {
    let upstream = Scripted::start(Vec::new()).await;
    let (here, mut queue) = Rig::with_open_queue(upstream.address, false);
    let address = match reachable {
        true => holder(&here).await,
        false => unused_address(),
    };
    let repeat = here.open(&chat(&[KEY, ONCE], false)).await;
    let decision = Decision::Attach { id: RequestId::new(9), holder: Some(address) };
    submission(&mut queue).await.decisions.send(decision).unwrap();
    let answer = read_all(repeat).await;
    assert!(answer.contains("comfreyway-outcome: unknown\r\n"), "{answer}");
    assert!(answer.contains(&format!("comfreyway-reason: {reason}\r\n")), "{answer}");
}

fn unused_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn resume(submission: &Submission, upstream: &Scripted) {
    let decision = Decision::Resume {
        id: RequestId::new(7),
        runner: "r1".parse().unwrap(),
        address: upstream.address,
        epoch: Epoch::default(),
    };
    submission.decisions.send(decision).unwrap();
}

//! Responses of a runner.

use std::{
    io,
    sync::{PoisonError, atomic::Ordering},
    time::{Duration, Instant},
};

use actix_web::{
    HttpRequest, HttpResponse,
    body::SizedStream,
    http::{StatusCode, header::RETRY_AFTER},
    web::{Bytes, Data},
};
use futures_util::{StreamExt, stream};

use super::{RunnerMode, RunnerRun, Shared};

/// Time for the chunks before a cut to be written to the socket.
const FLUSH_TIME: Duration = Duration::from_millis(50);

const EVENT_STREAM: &str = "text/event-stream";

const REQUEST_ID: &str = "x-comfreyway-request-id";
const SIGNATURE: &str = "x-comfreyway-runner-signature";
const NOT_EXECUTED: &str = "x-comfreyway-not-executed";
const LEAVING: &str = "server-leaving";
const PROMPT_PARTS: &str = "x-comfreyway-prompt-prefix";
const LIMIT: &str = "server-limit";
const EXPECT_RUNNER: &str = "x-comfreyway-expect-runner";

pub(super) async fn respond(runner: Data<Shared>, req: HttpRequest, body: Bytes) -> HttpResponse {
    let mode = *runner.mode.lock().unwrap_or_else(PoisonError::into_inner);
    let header = |name: &str| {
        let value = req.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    runner.arrivals.fetch_add(1, Ordering::Relaxed);
    let id = header(REQUEST_ID);
    let expected = header(EXPECT_RUNNER);
    if mode == RunnerMode::Misdirected || (!expected.is_empty() && expected != runner.name) {
        let mut res = HttpResponse::build(StatusCode::MISDIRECTED_REQUEST);
        return res.insert_header((REQUEST_ID, id)).finish();
    }
    let rest = match mode {
        RunnerMode::NotExecuted => Some(None),
        RunnerMode::Rest(ms) => Some(Some((ms as f64 / 1e3).to_string())),
        RunnerMode::RestHeader(value) => Some(Some(value.to_owned())),
        _ => None,
    };
    if let Some(rest) = rest {
        let mut res = HttpResponse::ServiceUnavailable();
        if let Some(rest) = rest {
            res.insert_header((RETRY_AFTER, rest));
        }
        return res.insert_header((REQUEST_ID, id)).insert_header((NOT_EXECUTED, "1")).finish();
    }
    record(&runner, &req, &id, &body);
    runner.gate.wait_until_open().await;
    let work_time = *runner.work_time.lock().unwrap_or_else(PoisonError::into_inner);
    if !work_time.is_zero() {
        tokio::time::sleep(work_time).await;
    }
    if runner.crashes_on(&body, &header(PROMPT_PARTS)) {
        runner.crashed.store(true, Ordering::Relaxed);
    }
    let mode = if runner.crashed.load(Ordering::Relaxed) { RunnerMode::CutAfter(1) } else { mode };
    let mut res = HttpResponse::Ok();
    res.insert_header((REQUEST_ID, id.clone()));
    if mode != RunnerMode::Unsigned {
        res.insert_header((SIGNATURE, runner.name.clone()));
    }
    if matches!(mode, RunnerMode::Leaving | RunnerMode::LeavingStream(_)) {
        res.insert_header((LEAVING, "1"));
    }
    if let Some(limit) = runner.limit.lock().unwrap_or_else(PoisonError::into_inner).clone() {
        res.insert_header((LIMIT, limit));
    }
    let after = header("last-event-id").parse().unwrap_or(0);
    match mode {
        RunnerMode::Stream(count) | RunnerMode::LeavingStream(count) => {
            let events = events(after, count, &runner.version(), None);
            res.content_type(EVENT_STREAM).streaming(events)
        }
        RunnerMode::CutAfter(count) => {
            let partial = format!("id: {}\nda", count + 1);
            let events = events(after, count, &runner.version(), Some(partial));
            res.content_type(EVENT_STREAM).streaming(events)
        }
        RunnerMode::Fails => res.status(StatusCode::INTERNAL_SERVER_ERROR).body("failed"),
        RunnerMode::Disconnect => {
            let broken = stream::once(async { Err::<Bytes, _>(io::Error::other("broken")) });
            HttpResponse::Ok().insert_header((REQUEST_ID, id)).body(SizedStream::new(9, broken))
        }
        RunnerMode::WrongRequestId => {
            let mut res = HttpResponse::Ok();
            res.insert_header((REQUEST_ID, "another"));
            res.insert_header((SIGNATURE, runner.name.clone())).body("foreign")
        }
        _ => res.body(format!("answer of {}", runner.name)),
    }
}

fn record(runner: &Shared, req: &HttpRequest, id: &str, body: &[u8]) {
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers = req.headers().iter();
    let run = RunnerRun {
        request_id: id.to_owned(),
        target: req.uri().to_string(),
        headers: headers.map(|(n, v)| (n.to_string(), text(v.as_bytes()))).collect(),
        body: body.to_vec(),
        arrived_at: Instant::now(),
    };
    runner.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
}

/// The events after `after` up to `count`. With a `partial` event, sends it next
/// and closes the connection.
fn events(
    after: u64,
    count: u64,
    version: &str,
    partial: Option<String>,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> + use<> {
    let event = |n| format!("id: {n}\ndata: e{n}{version}\n\n");
    let complete = (after + 1..=count).map(|n| Ok(Bytes::from(event(n))));
    let partial = partial.map(Bytes::from);
    let cut = usize::from(partial.is_some());
    let chunks = complete.chain(partial.map(Ok)).collect::<Vec<_>>();
    let end = stream::once(async {
        // The server discards what it has not written when a body fails.
        tokio::time::sleep(FLUSH_TIME).await;
        Err(io::Error::other("cut on purpose"))
    });
    stream::iter(chunks).chain(end.take(cut))
}

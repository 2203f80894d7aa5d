//! Responses, and parts of responses, that belong to no request or state nothing of it.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    thread,
    time::Duration,
};

use comfreyway_testkit::scripted_runner::{Exchange, Script, ScriptedRunner, response};
use rstest::rstest;
use socket2::SockRef;

use super::harness::{DEADLINE, DESK_KEY, FleetHarness, ID, KEY, call_with, events, runner_entry};

const NOT_EXECUTED: &str = "x-comfreyway-not-executed: 1\r\n";

const SIGNATURE: &str = "x-comfreyway-runner-signature";

const REQUESTS: usize = 6;

/// Time that a caller waits.
const WAIT_MS: &str = "1000";

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Time after a response within which a host has put its connection back.
const RELEASE_TIME: Duration = Duration::from_millis(5);

fn nothing(_: &mut Exchange<'_>) -> io::Result<()> {
    Ok(())
}

fn write(exchange: &mut Exchange<'_>, bytes: &str) -> io::Result<()> {
    exchange.stream.write_all(bytes.as_bytes())
}

fn run(exchange: &mut Exchange<'_>, status: u16, head: &str) -> io::Result<()> {
    exchange.run();
    let (id, events) = (exchange.request_id, events(1));
    let own = format!(
        "HTTP/1.1 {status} -\r\n{ID}: {id}\r\n{SIGNATURE}: s\r\n{head}\
         transfer-encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n0\r\n\r\n",
        events.len()
    );
    write(exchange, &own)
}

fn answer(exchange: &mut Exchange<'_>) -> io::Result<()> {
    run(exchange, 200, "")
}

/// Sends a response to the request before this one.
fn copy(exchange: &mut Exchange<'_>, status: u16, head: &str) -> io::Result<()> {
    let late = response(exchange.previous_id, status, head, "");
    stray(exchange, &late)
}

/// Sends bytes that belong to no request, unless the connection is new.
fn stray(exchange: &mut Exchange<'_>, bytes: &str) -> io::Result<()> {
    if exchange.index == 0 { Ok(()) } else { write(exchange, bytes) }
}

fn answer_and_copy(exchange: &mut Exchange<'_>, status: u16, head: &str) -> io::Result<()> {
    answer(exchange)?;
    thread::sleep(RELEASE_TIME);
    let late = response(exchange.request_id, status, head, "");
    write(exchange, &late)
}

fn reset(exchange: &mut Exchange<'_>) -> io::Result<()> {
    SockRef::from(&*exchange.stream).set_linger(Some(Duration::ZERO))?;
    Err(io::Error::other("reset"))
}

/// Calls a host, whose runners both follow the scripts, and checks what the callers were
/// told against the runs.
async fn check(path: &str, script: Script, first_byte: Script) {
    let fleet = FleetHarness::new();
    let upstream = if path == "/tags/" { "dala" } else { "survey" };
    let runners = ["r1", "r2"].map(|name| {
        let runner = ScriptedRunner::start(script, first_byte).unwrap();
        let entry = runner_entry(runner.address(), upstream, "ready");
        fleet.store.put(&format!("servers/{name}"), entry.to_string().as_bytes());
        runner
    });
    let host = fleet.start_host("h1").await;
    let mut told = BTreeMap::new();
    for number in 0..REQUESTS {
        let id = format!("id-{number}");
        let headers = [(KEY, DESK_KEY), (DEADLINE, WAIT_MS)];
        told.insert(id.clone(), call_with(&host, &id, path, &headers, "question").await.status);
    }
    let ran = runners.iter().flat_map(ScriptedRunner::runs).collect::<Vec<_>>();
    assert!(!ran.is_empty(), "nothing ran: {told:?}");
    for (id, status) in &told {
        let runs = ran.iter().filter(|run| *run == id).count();
        let is_kept = runs == 0 || !PROMISES.contains(status);
        let log = host.log();
        let trace = log.lines().filter(|line| line.contains(&format!("id={id} ")));
        let trace = trace.collect::<Vec<_>>().join("\n");
        assert!(runs <= 1 && is_kept, "{id}: {runs} runs, told {status}\n{trace}");
    }
}

#[rstest]
#[case::rejection(answer, |e: &mut Exchange<'_>| copy(e, 503, NOT_EXECUTED))]
#[case::misdirection(answer, |e: &mut Exchange<'_>| copy(e, 421, NOT_EXECUTED))]
#[case::failure(answer, |e: &mut Exchange<'_>| copy(e, 500, ""))]
#[case::answer(answer, |e: &mut Exchange<'_>| copy(e, 200, ""))]
#[case::idle_rejection(|e: &mut Exchange<'_>| answer_and_copy(e, 503, NOT_EXECUTED), nothing)]
#[case::idle_answer(|e: &mut Exchange<'_>| answer_and_copy(e, 200, ""), nothing)]
#[case::rejection_after_failure(
    |e: &mut Exchange<'_>| run(e, 500, ""),
    |e: &mut Exchange<'_>| copy(e, 503, NOT_EXECUTED)
)]
#[actix_rt::test]
async fn a_late_copy_of_a_response_does_not_make_the_next_request_run_again_or_count_as_not_run(
    #[values("/lookup/count/", "/tags/")] path: &str,
    #[case] script: Script,
    #[case] first_byte: Script,
) {
    check(path, script, first_byte).await;
}

/// The head of the response ends the part, and its id fits.
#[rstest]
#[case::in_a_value(|e: &mut Exchange<'_>| {
    stray(e, "HTTP/1.1 503 -\r\nx-comfreyway-not-executed: 1\r\nretry-after: ")
})]
#[case::in_the_status_line(|e: &mut Exchange<'_>| stray(e, "HTTP/1.1 421 "))]
#[case::in_a_reason_that_is_not_ascii(|e: &mut Exchange<'_>| {
    stray(e, "HTTP/1.1 421 Mauvaise requ\u{ea}te ")
})]
#[case::in_a_folded_line(|e: &mut Exchange<'_>| {
    stray(e, "HTTP/1.1 503 -\r\nx-comfreyway-not-executed: 1\r\nretry-after: 1\r\n ")
})]
#[case::with_bare_line_feeds(|e: &mut Exchange<'_>| {
    stray(e, "HTTP/1.1 503 -\nx-comfreyway-not-executed: 1\nretry-after: ")
})]
#[case::of_an_older_version(|e: &mut Exchange<'_>| {
    stray(e, "HTTP/1.0 503 -\r\nx-comfreyway-not-executed: 1\r\nretry-after: ")
})]
#[case::in_the_length(|e: &mut Exchange<'_>| {
    stray(e, "HTTP/1.1 503 -\r\nx-comfreyway-not-executed: 1\r\ncontent-length: ")
})]
#[case::in_the_encoding(|e: &mut Exchange<'_>| {
    stray(e, "HTTP/1.1 503 -\r\nx-comfreyway-not-executed: 1\r\ntransfer-encoding: ")
})]
#[case::in_the_statement(|e: &mut Exchange<'_>| {
    stray(e, "HTTP/1.1 503 -\r\nx-comfreyway-not-executed: ")
})]
#[case::in_a_value_that_is_not_ascii(|e: &mut Exchange<'_>| {
    stray(e, "HTTP/1.1 503 -\r\nx-comfreyway-not-executed: 1\r\nx-cause: \u{ea}")
})]
#[case::in_an_interim_response(|e: &mut Exchange<'_>| {
    stray(e, "HTTP/1.1 103 -\r\nx-comfreyway-not-executed: 1\r\nretry-after: ")
})]
#[case::after_an_interim_response(|e: &mut Exchange<'_>| {
    stray(e, "HTTP/1.1 103 -\r\n\r\nHTTP/1.1 503 -\r\nx-comfreyway-not-executed: 1\r\nx: ")
})]
#[case::in_a_name(|e: &mut Exchange<'_>| {
    stray(e, "HTTP/1.1 503 -\r\nx-comfreyway-not-executed: 1\r\nretry-af")
})]
#[case::between_two_lines(|e: &mut Exchange<'_>| {
    stray(e, "HTTP/1.1 503 -\r\nx-comfreyway-not-executed: 1\r\n")
})]
#[case::in_a_line_end(|e: &mut Exchange<'_>| {
    stray(e, "HTTP/1.1 503 -\r\nx-comfreyway-not-executed: 1\r\nretry-after: 1\r")
})]
#[case::two_parts(|e: &mut Exchange<'_>| {
    stray(e, "HTTP/1.1 503 -\r\nx-comfreyway-not-executed: 1\r\nx: HTTP/1.1 200 -\r\ny: ")
})]
#[case::with_a_body(|e: &mut Exchange<'_>| {
    stray(e, "HTTP/1.1 503 -\r\nx-comfreyway-not-executed: 1\r\ncontent-length: 9\r\n\r\nab")
})]
#[actix_rt::test]
async fn a_part_of_a_late_rejection_does_not_make_a_request_run_again_or_count_as_not_run(
    #[values("/lookup/count/", "/tags/")] path: &str,
    #[case] first_byte: Script,
) {
    check(path, answer, first_byte).await;
}

#[actix_rt::test]
async fn no_line_of_another_response_is_forwarded() {
    let part: Script = |e| stray(e, "HTTP/1.1 200 -\r\nx-stray: 1\r\nx-more: ");
    let runner = ScriptedRunner::start(answer, part).unwrap();
    let fleet = FleetHarness::new();
    let entry = runner_entry(runner.address(), "survey", "ready");
    fleet.store.put("servers/r1", entry.to_string().as_bytes());
    let host = fleet.start_host("h1").await;
    for number in 0..REQUESTS {
        let id = format!("id-{number}");
        let response = call_with(&host, &id, "/lookup/count/", &[(KEY, DESK_KEY)], "").await;
        assert!(!response.headers.contains_key("x-stray"), "{id}: {response:?}");
    }
    assert!(runner.runs().len() > 1);
}

#[actix_rt::test]
async fn a_part_of_a_late_response_removes_no_runner() {
    let part: Script = |e| stray(e, "HTTP/1.1 421 ");
    let runner = ScriptedRunner::start(answer, part).unwrap();
    let fleet = FleetHarness::new();
    let entry = runner_entry(runner.address(), "survey", "ready");
    fleet.store.put("servers/r1", entry.to_string().as_bytes());
    let host = fleet.start_host("h1").await;
    let mut told = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("id-{number}");
        let headers = [(KEY, DESK_KEY), (DEADLINE, WAIT_MS)];
        told.push(call_with(&host, &id, "/lookup/count/", &headers, "").await.status);
    }
    assert!(!host.log().contains("event=CF0523"), "{told:?}");
}

#[rstest]
#[case::request_timeout(|e: &mut Exchange<'_>| run(e, 408, ""))]
#[case::too_many(|e: &mut Exchange<'_>| run(e, 429, ""))]
#[case::unavailable(|e: &mut Exchange<'_>| run(e, 503, ""))]
#[case::interim(|e: &mut Exchange<'_>| {
    let interim = format!("HTTP/1.1 103 -\r\n{ID}: {}\r\n{NOT_EXECUTED}\r\n", e.request_id);
    write(e, &interim)?;
    answer(e)
})]
#[case::cut_head(|e: &mut Exchange<'_>| {
    e.run();
    let rejection = response(e.request_id, 503, NOT_EXECUTED, "");
    write(e, &rejection[..rejection.len() - 4])?;
    reset(e)
})]
#[case::previous_id(|e: &mut Exchange<'_>| {
    if e.index == 0 {
        return answer(e);
    }
    e.run();
    copy(e, 503, NOT_EXECUTED)
})]
#[case::reset_after_the_answer(|e: &mut Exchange<'_>| {
    answer(e)?;
    reset(e)
})]
#[actix_rt::test]
async fn a_response_without_a_valid_statement_does_not_become_a_promise(
    #[values("/lookup/count/", "/tags/")] path: &str,
    #[case] script: Script,
) {
    check(path, script, nothing).await;
}

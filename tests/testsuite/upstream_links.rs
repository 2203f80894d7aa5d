//! Failures of the link between a daemon and an upstream.
//!
//! A fault proxy forwards the link, and the upstream's own log counts how often
//! a request ran.

use std::time::Duration;

use comfreyway_testkit::{
    daemon::{DaemonSettings, TempDir},
    engine::{EngineSettings, EngineStandIn},
    measure::MetricsPage,
    proxy::{AcceptRule, Direction, FaultProxy, LinkRule},
    service::ServiceStandIn,
};
use futures_util::StreamExt;
use rstest::rstest;

use crate::support::{Caller, Daemon, Fixture, Response, chat};

const PROMPT: &str = "Summarise what was said.";
const TOKENS: u32 = 20;

/// A daemon and the fault proxy on its link with one upstream.
struct Harness {
    daemon: Daemon,
    proxy: FaultProxy,
    _dir: TempDir,
}

impl Harness {
    async fn new(fixture: Fixture, proxy: FaultProxy) -> Self {
        proxy.set_request_filter("POST");
        let dir = TempDir::new().unwrap();
        let file = dir.write("configuration.ini", &fixture.text()).unwrap();
        let settings = DaemonSettings::with_embedded("host-1", &file).unwrap();
        let settings = settings.with_limit("upstream-idle", "2s");
        let daemon = Daemon::start_ready(settings).await;
        Self { daemon, proxy, _dir: dir }
    }

    async fn with_engine(engine: &EngineStandIn, resumes: bool) -> Self {
        let proxy = FaultProxy::start(engine.address()).unwrap();
        let fixture = Fixture::new().with_engine(proxy.address());
        let fixture = if resumes { fixture } else { fixture.without_resume() };
        Self::new(fixture, proxy).await
    }

    async fn with_service(service: &ServiceStandIn) -> Self {
        let proxy = FaultProxy::start(service.address()).unwrap();
        Self::new(Fixture::new().with_service(proxy.address()), proxy).await
    }

    fn caller(&self) -> Caller {
        self.daemon.caller()
    }

    /// Returns a response without faults and its bytes on the link.
    async fn complete_response(&self, stream: bool) -> (Response, u64) {
        let before = self.proxy.forwarded(Direction::Down);
        let response = self.caller().chat(PROMPT, TOKENS, stream).await;
        assert!(response.is_complete(), "{response:?}");
        (response, self.proxy.forwarded(Direction::Down) - before)
    }

    async fn metric_by_reason(&self, metric: &str, reason: &str) -> f64 {
        let page = MetricsPage::parse(&self.daemon.metrics().await.unwrap());
        page.by_label(metric, "reason").get(reason).copied().unwrap_or_default()
    }
}

/// Starts an engine without a cache, so that two responses to one prompt are
/// the same.
fn engine(resumes: bool) -> EngineStandIn {
    let settings = EngineSettings::new().with_cache_tokens(0).with_resume(resumes);
    EngineStandIn::start(settings).unwrap()
}

/// Where a response is cut on the link.
#[derive(Clone, Copy, Debug)]
enum Cut {
    AfterBytes(u64),
    Half,
    BeforeEnd(u64),
}

impl Cut {
    fn offset(self, bytes: u64) -> u64 {
        match self {
            Self::AfterBytes(n) => n,
            Self::Half => bytes / 2,
            Self::BeforeEnd(n) => bytes - n,
        }
    }
}

#[rstest]
#[case::before_the_head(Cut::AfterBytes(0), true)]
#[case::within_the_head(Cut::AfterBytes(30), true)]
#[case::within_a_chunk(Cut::Half, true)]
#[case::within_the_end_mark(Cut::BeforeEnd(12), true)]
#[case::json_within_the_head(Cut::AfterBytes(30), false)]
#[case::json_within_the_body(Cut::BeforeEnd(40), false)]
#[actix_rt::test]
async fn broken_response_is_resumed_byte_for_byte(#[case] cut: Cut, #[case] stream: bool) {
    let engine = engine(true);
    let harness = Harness::with_engine(&engine, true).await;
    let (whole, bytes) = harness.complete_response(stream).await;
    harness.proxy.set_down(LinkRule::CutOnce(cut.offset(bytes)));
    let response = harness.caller().chat(PROMPT, TOKENS, stream).await;
    assert!(response.is_complete(), "{response:?}");
    assert_eq!(response.body, whole.body);
    assert_eq!(engine.log().count_of(&response.request_id), 1);
    assert_eq!((engine.log().count(), engine.resumes()), (2, 1));
}

#[rstest]
#[case::before_the_head(Cut::AfterBytes(0), true)]
#[case::within_the_head(Cut::AfterBytes(30), true)]
#[case::within_a_chunk(Cut::Half, true)]
#[case::within_the_end_mark(Cut::BeforeEnd(12), true)]
#[case::json_within_the_head(Cut::AfterBytes(30), false)]
#[case::json_within_the_body(Cut::BeforeEnd(40), false)]
#[actix_rt::test]
async fn broken_response_without_resume_is_unknown(#[case] cut: Cut, #[case] stream: bool) {
    let engine = engine(false);
    let harness = Harness::with_engine(&engine, false).await;
    let (_, bytes) = harness.complete_response(stream).await;
    harness.proxy.set_down(LinkRule::CutOnce(cut.offset(bytes)));
    let response = harness.caller().chat(PROMPT, TOKENS, stream).await;
    assert!(!response.is_complete(), "{response:?}");
    assert_eq!(engine.log().count(), 2);
    assert_eq!(harness.metric_by_reason("comfreyway_unknown_total", "upstream-broke").await, 1.0);
}

/// An engine may crash after its last token.
#[actix_rt::test]
async fn stream_cut_before_its_end_marker_is_unknown() {
    let engine = engine(false);
    let harness = Harness::with_engine(&engine, false).await;
    // The last event is the end marker; all events before it arrive.
    engine.cut_next_stream(TOKENS + 1);
    let response = harness.caller().chat(PROMPT, TOKENS, true).await;
    assert!(response.body.contains("finish_reason\":\"stop"), "{response:?}");
    assert!(!response.is_complete(), "{response:?}");
    assert_eq!(engine.log().count(), 1);
}

#[rstest]
#[case::within_the_head(Cut::AfterBytes(30))]
#[case::within_the_body(Cut::BeforeEnd(20))]
#[actix_rt::test]
async fn non_idempotent_service_request_is_never_retried(#[case] cut: Cut) {
    let service = ServiceStandIn::start().unwrap();
    let harness = Harness::with_service(&service).await;
    let first = harness.caller().with_class("count").with_key("k1").call("/survey/1", "a").await;
    assert_eq!(first.outcome, "answered", "{first:?}");
    let bytes = harness.proxy.forwarded(Direction::Down);
    harness.proxy.set_down(LinkRule::CutOnce(cut.offset(bytes)));
    let response = harness.caller().with_class("count").with_key("k2").call("/survey/1", "a").await;
    assert!(!response.is_complete(), "{response:?}");
    assert_eq!(service.log().count_of_key("k2"), 1);
}

#[actix_rt::test]
async fn request_is_retried_on_another_runner_after_a_refused_connection() {
    let engines = [engine(true), engine(true)];
    let proxy = FaultProxy::start(engines[0].address()).unwrap();
    proxy.set_accept(AcceptRule::Refuse).unwrap();
    let fixture = Fixture::new().with_engine(proxy.address()).with_engine(engines[1].address());
    let harness = Harness::new(fixture, proxy).await;
    for i in 0..20 {
        let response = harness.caller().chat(&format!("{PROMPT} {i}"), TOKENS, true).await;
        assert!(response.is_complete(), "{response:?}");
        assert_eq!(engines[1].log().count_of(&response.request_id), 1);
    }
    assert_eq!((engines[0].log().count(), engines[1].log().count()), (0, 20));
    assert!(harness.metric_by_reason("comfreyway_retries_total", "connect-refused").await >= 1.0);
}

#[actix_rt::test]
async fn request_that_no_runner_accepts_is_not_run() {
    let engine = engine(true);
    let harness = Harness::with_engine(&engine, true).await;
    harness.proxy.set_accept(AcceptRule::Refuse).unwrap();
    let response = harness.caller().with_class("urgent").chat(PROMPT, TOKENS, true).await;
    assert_eq!(response.outcome, "not-run", "{response:?}");
    assert_eq!(engine.log().count(), 0);
}

#[rstest]
#[case::request_lost(Direction::Up, 0)]
#[case::response_lost(Direction::Down, 1)]
#[actix_rt::test]
async fn silent_upstream_is_unknown(#[case] direction: Direction, #[case] runs: usize) {
    let service = ServiceStandIn::start().unwrap();
    let harness = Harness::with_service(&service).await;
    match direction {
        Direction::Up => harness.proxy.set_up(LinkRule::Drop),
        Direction::Down => harness.proxy.set_down(LinkRule::Drop),
    }
    let response = harness.caller().call("/survey/1", "a").await;
    assert_eq!(response.outcome, "unknown", "{response:?}");
    assert_eq!(response.reason, "upstream-timeout");
    assert_eq!(service.log().count(), runs);
}

#[actix_rt::test]
async fn slow_link_changes_no_response() {
    let engine = engine(true);
    let harness = Harness::with_engine(&engine, true).await;
    let (whole, _) = harness.complete_response(true).await;
    harness.proxy.set_up(LinkRule::Delay(Duration::from_millis(100)));
    harness.proxy.set_down(LinkRule::Delay(Duration::from_millis(100)));
    let response = harness.caller().chat(PROMPT, TOKENS, true).await;
    assert_eq!(response.body, whole.body);
    assert_eq!(engine.log().count(), 2);
}

#[actix_rt::test]
async fn slow_caller_slows_the_upstream_down_and_gets_the_whole_response() {
    const LONG_RESPONSE_TOKENS: u32 = 100_000;
    let engine = engine(true);
    let harness = Harness::with_engine(&engine, true).await;
    let request = chat(PROMPT, LONG_RESPONSE_TOKENS, true);
    let whole = harness.caller().chat(PROMPT, LONG_RESPONSE_TOKENS, true).await;
    let whole_bytes = harness.proxy.forwarded(Direction::Down);
    assert!(whole.is_complete());

    let mut res = harness.caller().chat_request().send_json(&request).await.unwrap();
    let first = res.next().await.unwrap().unwrap();
    let forwarded =
        wait_until_stable(|| harness.proxy.forwarded(Direction::Down)).await - whole_bytes;
    assert!(forwarded < whole_bytes / 2, "{forwarded} of {whole_bytes} bytes were forwarded");
    let rest = Response::read(Ok(res)).await;
    assert_eq!(first.len() + rest.body.len(), whole.body.len());
    assert!(whole.body.ends_with(&rest.body));
}

/// Reads a value until it has not changed for a while, and returns it.
async fn wait_until_stable<F>(mut read: F) -> u64
where
    F: FnMut() -> u64,
{
    const STABLE_TIME: Duration = Duration::from_millis(300);
    loop {
        let before = read();
        actix_rt::time::sleep(STABLE_TIME).await;
        if read() == before {
            return before;
        }
    }
}

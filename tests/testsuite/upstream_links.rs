//! Failures of the link between a daemon and an upstream.
//!
//! The fault proxy stands on the link, and the upstream's own log says how
//! often a request ran.

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

use crate::support::{Answer, Caller, Daemon, Fixture, chat};

const PROMPT: &str = "Summarise what was said.";
const TOKENS: u32 = 20;

/// A daemon before one upstream, with the fault proxy on the link.
struct Bench {
    daemon: Daemon,
    proxy: FaultProxy,
    _dir: TempDir,
}

impl Bench {
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

    /// An answer without faults, and the bytes that it takes on the link.
    async fn whole_answer(&self, stream: bool) -> (Answer, u64) {
        let before = self.proxy.forwarded(Direction::Down);
        let answer = self.caller().chat(PROMPT, TOKENS, stream).await;
        assert!(answer.looks_answered(), "{answer:?}");
        (answer, self.proxy.forwarded(Direction::Down) - before)
    }

    async fn counted(&self, metric: &str, reason: &str) -> f64 {
        let page = MetricsPage::parse(&self.daemon.metrics().await.unwrap());
        page.by_label(metric, "reason").get(reason).copied().unwrap_or_default()
    }
}

/// An engine without a cache, so that two answers to one prompt are the same.
fn engine(resumes: bool) -> EngineStandIn {
    let settings = EngineSettings::new().with_cache_tokens(0).with_resume(resumes);
    EngineStandIn::start(settings).unwrap()
}

/// Where an answer is cut on the link.
#[derive(Clone, Copy, Debug)]
enum Cut {
    AfterBytes(u64),
    Half,
    BeforeEnd(u64),
}

impl Cut {
    fn place(self, bytes: u64) -> u64 {
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
async fn broken_answer_is_resumed_byte_for_byte(#[case] cut: Cut, #[case] stream: bool) {
    let engine = engine(true);
    let bench = Bench::with_engine(&engine, true).await;
    let (whole, bytes) = bench.whole_answer(stream).await;
    bench.proxy.set_down(LinkRule::CutOnce(cut.place(bytes)));
    let answer = bench.caller().chat(PROMPT, TOKENS, stream).await;
    assert!(answer.looks_answered(), "{answer:?}");
    assert_eq!(answer.body, whole.body);
    assert_eq!(engine.log().count_of(&answer.request_id), 1);
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
async fn broken_answer_without_resume_is_unknown(#[case] cut: Cut, #[case] stream: bool) {
    let engine = engine(false);
    let bench = Bench::with_engine(&engine, false).await;
    let (_, bytes) = bench.whole_answer(stream).await;
    bench.proxy.set_down(LinkRule::CutOnce(cut.place(bytes)));
    let answer = bench.caller().chat(PROMPT, TOKENS, stream).await;
    assert!(!answer.looks_answered(), "{answer:?}");
    assert_eq!(engine.log().count(), 2);
    assert_eq!(bench.counted("comfreyway_unknown_total", "upstream-broke").await, 1.0);
}

#[actix_rt::test]
async fn stream_whose_engine_died_after_its_last_token_is_unknown() {
    let engine = engine(false);
    let bench = Bench::with_engine(&engine, false).await;
    // The last event is the end mark; everything before it arrives whole.
    engine.cut_next_stream(TOKENS + 1);
    let answer = bench.caller().chat(PROMPT, TOKENS, true).await;
    assert!(answer.body.contains("finish_reason\":\"stop"), "{answer:?}");
    assert!(!answer.looks_answered(), "{answer:?}");
    assert_eq!(engine.log().count(), 1);
}

#[rstest]
#[case::within_the_head(Cut::AfterBytes(30))]
#[case::within_the_body(Cut::BeforeEnd(20))]
#[actix_rt::test]
async fn plain_call_is_never_sent_again(#[case] cut: Cut) {
    let service = ServiceStandIn::start().unwrap();
    let bench = Bench::with_service(&service).await;
    let first = bench.caller().with_class("count").with_key("k1").call("/survey/1", "a").await;
    assert_eq!(first.outcome, "answered", "{first:?}");
    let bytes = bench.proxy.forwarded(Direction::Down);
    bench.proxy.set_down(LinkRule::CutOnce(cut.place(bytes)));
    let answer = bench.caller().with_class("count").with_key("k2").call("/survey/1", "a").await;
    assert!(!answer.looks_answered(), "{answer:?}");
    assert_eq!(service.log().count_of_key("k2"), 1);
}

#[actix_rt::test]
async fn refused_connection_moves_the_request_to_another_runner() {
    let engines = [engine(true), engine(true)];
    let proxy = FaultProxy::start(engines[0].address()).unwrap();
    proxy.set_accept(AcceptRule::Refuse).unwrap();
    let fixture = Fixture::new().with_engine(proxy.address()).with_engine(engines[1].address());
    let bench = Bench::new(fixture, proxy).await;
    for i in 0..20 {
        let answer = bench.caller().chat(&format!("{PROMPT} {i}"), TOKENS, true).await;
        assert!(answer.looks_answered(), "{answer:?}");
        assert_eq!(engines[1].log().count_of(&answer.request_id), 1);
    }
    assert_eq!((engines[0].log().count(), engines[1].log().count()), (0, 20));
    assert!(bench.counted("comfreyway_retries_total", "connect-refused").await >= 1.0);
}

#[actix_rt::test]
async fn request_that_no_runner_takes_was_not_run() {
    let engine = engine(true);
    let bench = Bench::with_engine(&engine, true).await;
    bench.proxy.set_accept(AcceptRule::Refuse).unwrap();
    let answer = bench.caller().with_class("urgent").chat(PROMPT, TOKENS, true).await;
    assert_eq!(answer.outcome, "not-run", "{answer:?}");
    assert_eq!(engine.log().count(), 0);
}

#[rstest]
#[case::request_swallowed(Direction::Up, 0)]
#[case::answer_swallowed(Direction::Down, 1)]
#[actix_rt::test]
async fn silent_upstream_is_unknown(#[case] direction: Direction, #[case] runs: usize) {
    let service = ServiceStandIn::start().unwrap();
    let bench = Bench::with_service(&service).await;
    match direction {
        Direction::Up => bench.proxy.set_up(LinkRule::Drop),
        Direction::Down => bench.proxy.set_down(LinkRule::Drop),
    }
    let answer = bench.caller().call("/survey/1", "a").await;
    assert_eq!(answer.outcome, "unknown", "{answer:?}");
    assert_eq!(answer.reason, "upstream-timeout");
    assert_eq!(service.log().count(), runs);
}

#[actix_rt::test]
async fn slow_link_changes_no_answer() {
    let engine = engine(true);
    let bench = Bench::with_engine(&engine, true).await;
    let (whole, _) = bench.whole_answer(true).await;
    bench.proxy.set_up(LinkRule::Delay(Duration::from_millis(100)));
    bench.proxy.set_down(LinkRule::Delay(Duration::from_millis(100)));
    let answer = bench.caller().chat(PROMPT, TOKENS, true).await;
    assert_eq!(answer.body, whole.body);
    assert_eq!(engine.log().count(), 2);
}

#[actix_rt::test]
async fn slow_caller_holds_the_upstream_back_and_gets_the_whole_answer() {
    const LONG_ANSWER_TOKENS: u32 = 100_000;
    let engine = engine(true);
    let bench = Bench::with_engine(&engine, true).await;
    let request = chat(PROMPT, LONG_ANSWER_TOKENS, true);
    let whole = bench.caller().chat(PROMPT, LONG_ANSWER_TOKENS, true).await;
    let whole_bytes = bench.proxy.forwarded(Direction::Down);
    assert!(whole.looks_answered());

    let mut res = bench.caller().chat_request().send_json(&request).await.unwrap();
    let first = res.next().await.unwrap().unwrap();
    let forwarded = stands_still(|| bench.proxy.forwarded(Direction::Down)).await - whole_bytes;
    assert!(forwarded < whole_bytes / 2, "{forwarded} of {whole_bytes} bytes were taken");
    let rest = Answer::read(Ok(res)).await;
    assert_eq!(first.len() + rest.body.len(), whole.body.len());
    assert!(whole.body.ends_with(&rest.body));
}

/// The value once it has not changed for a while.
async fn stands_still<F>(mut read: F) -> u64
where
    F: FnMut() -> u64,
{
    const STILL: Duration = Duration::from_millis(300);
    loop {
        let before = read();
        actix_rt::time::sleep(STILL).await;
        if read() == before {
            return before;
        }
    }
}

//! Connections whose other machine lost power: they end neither with FIN nor with RST, and
//! are reset once they are used after that machine is back.

use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use comfreyway_testkit::{
    daemon::{MAX_WAIT, Signal, eventually},
    proxy::FaultProxy,
    runner_process::{RunnerOptions, RunnerProcess},
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::Daemon;

use super::harness::{
    DEADLINE, DESK_KEY, FleetHarness, ID, KEY, Response, call_with, runner_entry, try_call_at,
};

/// Path whose requests may run at most once.
const PATH: &str = "/lookup/count/";

/// Statuses that guarantee that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

const WORK_TIME: Duration = Duration::from_millis(400);

/// Time for which a machine is without power.
const OUTAGE_TIME: Duration = Duration::from_millis(300);

const OPTIONS: RunnerOptions =
    RunnerOptions { seed: 1, work_ms: 0, slots: 4, backlog: 128, faults_per_mille: 0 };

/// A fleet with one runner behind a link, and a host.
struct Fixture {
    fleet: FleetHarness,
    runner: RunnerProcess,
    link: FaultProxy,
    host: Daemon,
}

impl Fixture {
    async fn start(options: RunnerOptions) -> Self {
        let fleet = FleetHarness::new();
        let runner = RunnerProcess::start("r1", options).unwrap();
        let link = FaultProxy::start(runner.address()).unwrap();
        let host = fleet.start_host("h1").await;
        let fixture = Self { fleet, runner, link, host };
        fixture.put_entry("r1");
        fixture
    }

    fn put_entry(&self, name: &str) {
        let entry = runner_entry(self.link.address(), "survey", "ready").to_string();
        self.fleet.store.put(&format!("servers/{name}"), entry.as_bytes());
    }

    async fn call(&self, id: &str) -> Response {
        let headers = [(KEY, DESK_KEY), (DEADLINE, "3000")];
        call_with(&self.host, id, PATH, &headers, "question").await
    }

    /// Calls until a request is served.
    async fn serve(&self, name: &str) {
        let served = async {
            for number in 0.. {
                if self.call(&format!("{name}-{number}")).await.status == 200 {
                    return;
                }
            }
        };
        timeout(MAX_WAIT, served).await.expect("the host does not serve");
    }

    async fn began(&self, id: &str) {
        let began = || async { self.runner.beginnings().contains_key(id).then_some(()) };
        eventually(began).await.expect("the request did not begin");
    }

    fn runs(&self, id: &str) -> usize {
        self.runner.beginnings().get(id).map_or(0, Vec::len)
    }

    /// Checks that a request ran at most once, and not if its status says so.
    fn check(&self, id: &str, status: u16) {
        let runs = self.runs(id);
        assert!(runs <= 1, "{id} ran {runs} times, status {status}");
        assert!(runs == 0 || !NOT_RUN_STATUSES.contains(&status), "{id} ran, status {status}");
    }

    /// Checks that none ran twice.
    fn check_all(&self) {
        let twice: Vec<_> =
            self.runner.beginnings().into_iter().filter(|(_, begun)| begun.len() > 1).collect();
        assert!(twice.is_empty(), "ran twice: {twice:?}");
    }
}

/// What becomes of the runner.
#[derive(Clone, Copy, Debug)]
enum Runner {
    Lives,
    StartsAgain,
    StartsAgainRenamed,
}

impl Runner {
    fn start_again(self, fixture: &mut Fixture) {
        match self {
            Self::Lives => {}
            Self::StartsAgain => fixture.runner.restart("r1").unwrap(),
            Self::StartsAgainRenamed => {
                fixture.runner.restart("r2").unwrap();
                fixture.fleet.store.delete("servers/r1");
                fixture.put_entry("r2");
            }
        }
    }
}

#[rstest]
#[actix_rt::test]
async fn an_idle_connection_that_is_reset_when_it_is_used_makes_no_request_run_twice(
    #[values(Runner::Lives, Runner::StartsAgain, Runner::StartsAgainRenamed)] runner: Runner,
    #[values(true, false)] used_while_silent: bool,
) {
    let mut fixture = Fixture::start(OPTIONS).await;
    fixture.serve("before").await;
    fixture.link.silence();
    runner.start_again(&mut fixture);
    if !used_while_silent {
        fixture.link.reset_silenced();
    }
    let back = async {
        sleep(OUTAGE_TIME).await;
        fixture.link.reset_silenced();
    };
    let (response, ()) = futures_util::join!(fixture.call("id-1"), back);
    fixture.serve("after").await;
    fixture.check("id-1", response.status);
    fixture.check_all();
}

#[rstest]
#[actix_rt::test]
async fn a_request_whose_connection_is_lost_while_it_runs_is_neither_refused_nor_run_again(
    #[values(Runner::Lives, Runner::StartsAgain, Runner::StartsAgainRenamed)] runner: Runner,
    #[values(true, false)] is_reset: bool,
) {
    let work_ms = WORK_TIME.as_millis().try_into().unwrap();
    let mut fixture = Fixture::start(RunnerOptions { work_ms, ..OPTIONS }).await;
    fixture.serve("before").await;
    let host = fixture.host.settings().callers;
    let calling = actix_rt::spawn(async move { try_call_at(host, "id-1", PATH).await });
    fixture.began("id-1").await;
    fixture.link.silence();
    runner.start_again(&mut fixture);
    sleep(OUTAGE_TIME).await;
    if is_reset {
        fixture.link.reset_silenced();
    }
    fixture.serve("after").await;
    let response = timeout(MAX_WAIT, calling).await.expect("no response").unwrap();
    assert_eq!(fixture.runs("id-1"), 1);
    fixture.check("id-1", response.map_or(0, |response| response.status));
    fixture.check_all();
}

#[rstest]
#[actix_rt::test]
async fn requests_of_a_caller_that_lost_power_run_at_most_once(
    #[values(true, false)] in_flight: bool,
) {
    let work_ms = WORK_TIME.as_millis().try_into().unwrap();
    let fixture = Fixture::start(RunnerOptions { work_ms, ..OPTIONS }).await;
    fixture.serve("before").await;
    let callers = FaultProxy::start(fixture.host.settings().callers).unwrap();
    let mut stream = TcpStream::connect(callers.address()).await.unwrap();
    let request = |id: &str| {
        format!(
            "POST {PATH} HTTP/1.1\r\nhost: desk.example\r\n{ID}: {id}\r\n{KEY}: {DESK_KEY}\r\n\
             content-length: 0\r\n\r\n"
        )
    };
    stream.write_all(request("id-1").as_bytes()).await.unwrap();
    fixture.began("id-1").await;
    if !in_flight {
        assert!(stream.read_u8().await.is_ok(), "no response");
    }
    callers.silence();
    stream.write_all(request("id-2").as_bytes()).await.unwrap();
    sleep(OUTAGE_TIME).await;
    callers.reset_silenced();
    fixture.serve("after").await;
    assert_eq!((fixture.runs("id-1"), fixture.runs("id-2")), (1, 0));
    fixture.check_all();
}

/// A host that lost power leaves its connections to the runner open there.
#[rstest]
#[actix_rt::test]
async fn requests_of_a_host_that_lost_power_are_not_run_again_by_the_next_process(
    #[values(true, false)] in_flight: bool,
) {
    let work_ms = WORK_TIME.as_millis().try_into().unwrap();
    let mut fixture = Fixture::start(RunnerOptions { work_ms, ..OPTIONS }).await;
    fixture.serve("before").await;
    let settings = fixture.host.settings().clone();
    let host = settings.callers;
    let calling =
        in_flight.then(|| actix_rt::spawn(async move { try_call_at(host, "id-1", PATH).await }));
    if in_flight {
        fixture.began("id-1").await;
    }
    fixture.link.silence();
    fixture.host.signal(Signal::Kill).unwrap();
    fixture.host.exited().await.unwrap();
    fixture.host = Daemon::start(settings);
    fixture.link.reset_silenced();
    fixture.host.ready().await.unwrap();
    fixture.serve("after").await;
    if let Some(calling) = calling {
        let response = timeout(MAX_WAIT, calling).await.expect("no response").unwrap();
        assert_eq!(fixture.runs("id-1"), 1);
        fixture.check("id-1", response.map_or(0, |response| response.status));
    }
    fixture.check_all();
}

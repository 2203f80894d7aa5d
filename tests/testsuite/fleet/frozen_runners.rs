//! Runners that are frozen while the kernel accepts and buffers for them, and that run what
//! was buffered once they continue.

use std::time::Duration;

use actix_rt::time::sleep;
use comfreyway_testkit::{
    daemon::{Signal, eventually},
    runner_process::{RunnerOptions, RunnerProcess},
};
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::json;

use super::harness::{DEADLINE, DESK_KEY, FleetHarness, ID, KEY, call_with, runner_entry};

/// Path whose requests may run at most once.
const PATH: &str = "/lookup/count/";

/// Statuses that guarantee that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

const CALLS: usize = 8;

/// Time in which a continued runner runs what was buffered.
const LATE_TIME: Duration = Duration::from_secs(1);

/// `others` runners stay awake. A request that was buffered at the frozen one has no second
/// run there or elsewhere.
#[rstest]
#[actix_rt::test]
async fn what_a_frozen_runner_runs_once_it_continues_was_not_refused_and_runs_nowhere_else(
    #[values(1, 128)] backlog: u32,
    #[values(0, 1)] others: usize,
    #[values(true, false)] has_more_connections: bool,
) {
    let fleet = FleetHarness::new();
    let options = RunnerOptions { seed: 1, work_ms: 5, slots: CALLS, backlog, faults_per_mille: 0 };
    let start = |number: usize| RunnerProcess::start(&format!("r{number}"), options).unwrap();
    let runners: Vec<_> = (0..=others).map(start).collect();
    for runner in &runners {
        let mut entry = runner_entry(runner.address(), "survey", "ready");
        entry["slots"] = json!(CALLS);
        fleet.store.put(&format!("servers/{}", runner.name()), entry.to_string().as_bytes());
    }
    let host = fleet.start_host("h1").await;
    let call = async |id: String| {
        let headers = [(KEY, DESK_KEY), (DEADLINE, "1000")];
        let response = call_with(&host, &id, PATH, &headers, "question").await;
        assert_eq!(response.headers.get(ID), Some(&id));
        (id, response.status)
    };
    let served = || async { (call("served".to_owned()).await.1 == 200).then_some(()) };
    eventually(served).await.expect("the host does not serve");
    if has_more_connections {
        join_all((0..CALLS).map(|number| call(format!("before-{number}")))).await;
    }
    runners[0].signal(Signal::Stop).unwrap();
    let mut results = Vec::new();
    for wave in 0..2 {
        let calls = (0..CALLS).map(|number| call(format!("id-{wave}-{number}")));
        results.extend(join_all(calls).await);
    }
    runners[0].signal(Signal::Continue).unwrap();
    eventually(served).await.expect("the host does not serve");
    sleep(LATE_TIME).await;
    for (id, status) in results {
        let count = |runner: &RunnerProcess| runner.beginnings().get(&id).map_or(0, Vec::len);
        let runs: usize = runners.iter().map(count).sum();
        assert!(runs <= 1, "{id} ran {runs} times, status {status}");
        assert!(runs == 0 || !NOT_RUN_STATUSES.contains(&status), "{id} ran, status {status}");
    }
}

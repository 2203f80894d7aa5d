//! Rate limits that runners name in their responses.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use comfreyway_testkit::fleet_runner::{FleetRunner, RunnerMode};
use rstest::rstest;

use crate::support::Daemon;

use super::harness::{FleetHarness, call};

const EVENTS: u64 = 3;

/// Time within which all hosts hear of each other, as the users configure it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Window in which the users count requests, by how much they may exceed the limit, and
/// how many more they may be.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_MORE: f64 = 5.0;

/// Share of what a limit allows that a runner gets while requests wait.
const MIN_USED: f64 = 0.8;

/// Callers of each host.
const CALLERS: usize = 4;

async fn send_requests(host: Rc<Daemon>, name: String) {
    for number in 0.. {
        call(&host, &format!("{name}-{number}"), "/report/").await;
    }
}

/// Number of requests that reached a runner in this time.
fn arrivals(runner: &FleetRunner, from: Instant, time: Duration) -> usize {
    let runs = runner.runs().into_iter();
    runs.filter(|run| run.arrived_at >= from && run.arrived_at < from + time).count()
}

/// Most requests that reached a runner in any window after this time.
fn most_in_window(runner: &FleetRunner, from: Instant) -> usize {
    let starts = runner.runs().into_iter().map(|run| run.arrived_at);
    let starts = starts.filter(|arrived_at| *arrived_at >= from);
    starts.map(|start| arrivals(runner, start, WINDOW)).max().unwrap_or(0)
}

#[rstest]
#[case::some_a_second("2.5", 2.5)]
#[case::none("0", 0.0)]
#[actix_rt::test]
async fn a_runner_gets_no_more_requests_than_the_limit_that_it_names(
    #[case] named: &str,
    #[case] limit: f64,
) {
    let fleet = FleetHarness::new();
    let limited = fleet.start_version("dala", "e1", "v1", RunnerMode::Stream(EVENTS));
    let other = fleet.start_version("dala", "e2", "v1", RunnerMode::Stream(EVENTS));
    let hosts = [Rc::new(fleet.start_host("h1").await), Rc::new(fleet.start_host("h2").await)];
    let mut callers = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        for caller in 0..CALLERS {
            let name = format!("c{number}-{caller}");
            callers.push(actix_rt::spawn(send_requests(host.clone(), name)));
        }
    }
    sleep(Duration::from_millis(500)).await;
    limited.set_limit(Some(named));
    let named_at = Instant::now();
    sleep(CONTACT_TIME + 2 * WINDOW).await;
    let most = most_in_window(&limited, named_at + CONTACT_TIME) as f64;
    let allowed = (limit * WINDOW.as_secs_f64() * ALLOWED_FACTOR + ALLOWED_MORE).floor();
    assert!(most <= allowed, "{most} requests in a window, allowed {allowed}");
    let used = arrivals(&limited, named_at + CONTACT_TIME, 2 * WINDOW) as f64;
    let owed = limit * 2.0 * WINDOW.as_secs_f64() * MIN_USED;
    assert!(used >= owed, "{used} requests, {owed} are the least");

    limited.set_limit(None);
    sleep(2 * CONTACT_TIME).await;
    let lifted_at = Instant::now();
    sleep(Duration::from_secs(1)).await;
    let after = arrivals(&limited, lifted_at, Duration::from_secs(1));
    assert!(after > 20, "{after} requests a second without a limit");
    assert!(arrivals(&other, lifted_at, Duration::from_secs(1)) > 20);
    callers.iter().for_each(|caller| caller.abort());
}

//! Grants that cross the refusals of a host that stops.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use actix_rt::time::sleep;
use comfreyway_testkit::{
    daemon::{Signal, eventually},
    fleet_runner::RunnerMode,
};
use futures_util::future::join_all;
use rstest::rstest;

use crate::support::Daemon;

use super::harness::{FleetHarness, try_call_at};

const CALLERS: usize = 40;
const STOPS: usize = 4;

/// Statuses that guarantee that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Statuses that callers got, by request id; zero without a response.
type Statuses = Rc<RefCell<BTreeMap<String, u16>>>;

/// A runner rejects all requests, so some were rejected before they wait; the others release
/// their slots all the time. The host that stops coordinates, or another one does.
#[rstest]
#[case::own_coordinator(true)]
#[case::other_coordinator(false)]
#[actix_rt::test]
async fn no_request_that_a_stopping_host_refuses_runs(#[case] coordinates: bool) {
    let fleet = FleetHarness::new()
        .with_runner("survey", "r1", RunnerMode::Whole)
        .with_runner("survey", "r2", RunnerMode::Whole)
        .with_runner("survey", "r3", RunnerMode::NotExecuted);
    let work = [37, 53, 11].map(Duration::from_millis);
    fleet.runners.iter().zip(work).for_each(|(runner, work)| runner.set_work_time(work));
    let other = match coordinates {
        true => None,
        false => Some(fleet.start_host("h0").await),
    };
    let statuses = Statuses::default();
    for stop in 0..STOPS {
        let settings = fleet.settings("h1").with_workers(3).with_limit("stop-limit", "2s");
        let mut host = Daemon::start_ready(settings).await;
        if other.is_some() {
            let connected = || async { host.log().contains("event=CF0532").then_some(()) };
            eventually(connected).await.expect("the host found no coordinator");
        }
        let callers = host.settings().callers;
        let calls = (0..CALLERS).map(|caller| {
            let statuses = statuses.clone();
            async move {
                for call in 0.. {
                    let id = format!("{stop}-{caller}-{call}");
                    let response = try_call_at(callers, &id, "/lookup/count/").await;
                    let status = response.map_or(0, |response| response.status);
                    statuses.borrow_mut().insert(id, status);
                    if status == 0 {
                        return;
                    }
                    sleep(Duration::from_millis(if status == 200 { 0 } else { 20 })).await;
                }
            }
        });
        let end = async {
            sleep(Duration::from_millis(700)).await;
            host.signal(Signal::Terminate).unwrap();
        };
        futures_util::join!(join_all(calls), end);
        assert!(host.exited().await.unwrap().success());
        assert!(host.log().contains("reason=stopping"), "no request waited at the stop");
    }
    let mut runs = BTreeMap::<String, usize>::new();
    for run in fleet.runners.iter().take(2).flat_map(|runner| runner.runs()) {
        *runs.entry(run.request_id).or_default() += 1;
    }
    let statuses = statuses.borrow();
    let refused = statuses.iter().filter(|(_, status)| NOT_RUN_STATUSES.contains(status));
    let (refused, ran): (Vec<_>, Vec<_>) = refused.partition(|(id, _)| !runs.contains_key(*id));
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    eprintln!("{} asked, {} refused, {} ran", statuses.len(), refused.len(), runs.len());
    assert!(ran.is_empty(), "ran and were refused: {ran:?}");
    assert!(twice.is_empty(), "ran twice: {twice:?}");
    assert!(!refused.is_empty() && !runs.is_empty());
}

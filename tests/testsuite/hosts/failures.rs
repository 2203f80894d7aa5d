//! Hosts that are killed or restarted with requests in every state.

use std::time::Duration;

use comfreyway_testkit::{
    daemon::{Signal, eventually},
    store::StoreFaults,
};
use futures_util::future::join_all;

use crate::support::Response;

use super::fleet::{Fleet, assert_each_ran_once};

const TOKENS: u32 = 3;
/// Requests of one host that are sent while the engine holds everything.
const BURST: usize = 40;

/// Refusal reasons of a host whose readiness check fails.
const NOT_SERVING_REASONS: [&str; 2] = ["stopping", "not-ready"];

/// Sends a burst to one host without waiting for the responses.
fn burst(
    fleet: &Fleet,
    host: usize,
    tag: &'static str,
) -> actix_rt::task::JoinHandle<Vec<Response>> {
    let caller = fleet.caller(host);
    let calls = (0..BURST).map(move |n| {
        let caller = caller.clone();
        async move { caller.chat(&format!("{tag} {n}"), TOKENS, false).await }
    });
    actix_rt::spawn(join_all(calls))
}

/// Waits until the engine has received a request with the tag.
async fn wait_for_run(fleet: &Fleet, tag: &str) {
    let ran = |body: &[u8]| String::from_utf8_lossy(body).contains(tag);
    let found = || async {
        let runs = fleet.engine.log().runs();
        runs.iter().any(|run| ran(&run.body)).then_some(())
    };
    eventually(found).await.unwrap();
}

/// Counts the runs whose body contains the tag.
fn run_count(fleet: &Fleet, tag: &str) -> usize {
    let runs = fleet.engine.log().runs();
    runs.iter().filter(|run| String::from_utf8_lossy(&run.body).contains(tag)).count()
}

/// Counts the runs whose body contains the tag, including requests that a host
/// sent before it was killed and that the engine reads only now. The engine has
/// one thread: what arrived before the first load request is in its log after
/// the second.
async fn settled_run_count(fleet: &Fleet, tag: &str) -> usize {
    let url = format!("http://{}/v1/load", fleet.engine.address());
    for _ in 0..2 {
        let mut response = awc::Client::default().get(&url).send().await.unwrap();
        response.body().await.unwrap();
    }
    run_count(fleet, tag)
}

#[actix_rt::test]
async fn requests_waiting_on_a_killed_entry_host_never_run() {
    let mut fleet = Fleet::start(3).await;
    let (owner, standby) = (fleet.owner().await, fleet.standby().await);
    let entry = fleet.other_than(&[owner, standby]);
    fleet.engine.gate().close();
    let lost = burst(&fleet, entry, "lost");
    wait_for_run(&fleet, "lost").await;
    fleet.kill(entry);
    assert!(lost.await.unwrap().iter().all(|response| !response.is_complete()));
    let before = settled_run_count(&fleet, "lost").await;
    assert!(before < BURST, "some requests still waited");
    let kept = burst(&fleet, owner, "kept");
    fleet.engine.gate().open();
    assert!(kept.await.unwrap().iter().all(Response::is_complete));
    assert_eq!(run_count(&fleet, "kept"), BURST);
    assert_eq!(
        run_count(&fleet, "lost"),
        before,
        "a request of the killed host ran after the kill"
    );
    assert_each_ran_once(fleet.engine.log());
}

#[actix_rt::test]
async fn waiting_requests_of_other_hosts_survive_a_killed_owner_that_is_also_an_entry() {
    let mut fleet = Fleet::start(3).await;
    let owner = fleet.owner().await;
    let entry = fleet.other_than(&[owner]);
    fleet.engine.gate().close();
    let lost = burst(&fleet, owner, "lost");
    let kept = burst(&fleet, entry, "kept");
    wait_for_run(&fleet, "lost").await;
    fleet.kill(owner);
    assert!(lost.await.unwrap().iter().all(|response| !response.is_complete()));
    let before = settled_run_count(&fleet, "lost").await;
    fleet.wait_for_record(|record| record.epoch.issued == 2).await;
    fleet.engine.gate().open();
    assert!(kept.await.unwrap().iter().all(Response::is_complete));
    assert_eq!((run_count(&fleet, "kept"), run_count(&fleet, "lost")), (BURST, before));
    assert_each_ran_once(fleet.engine.log());
}

#[actix_rt::test]
async fn a_lost_reply_to_the_epoch_write_is_read_back() {
    let mut fleet = Fleet::start(3).await;
    let (owner, standby) = (fleet.owner().await, fleet.standby().await);
    let entry = fleet.other_than(&[owner, standby]);
    fleet.kv.set_faults(StoreFaults::new().with_lost_replies("comfreyway/pools/", 2));
    fleet.kill(owner);
    let responses = burst(&fleet, entry, "after").await.unwrap();
    assert!(responses.iter().all(Response::is_complete));
    let record = fleet.wait_for_record(|record| record.epoch.issued > 1).await;
    assert_eq!((record.epoch.issued, record.epoch.provisional), (2, 0));
    assert_each_ran_once(fleet.engine.log());
}

#[actix_rt::test]
async fn a_service_slow_by_two_seconds_delays_no_request() {
    let fleet = Fleet::start(3).await;
    fleet.kv.set_faults(StoreFaults::new().with_delay(Duration::from_secs(2)));
    for host in 0..3 {
        let responses = burst(&fleet, host, ["first", "second", "third"][host]).await.unwrap();
        assert!(responses.iter().all(Response::is_complete));
    }
    assert_eq!(fleet.engine.log().count(), 3 * BURST);
    assert_each_ran_once(fleet.engine.log());
}

/// Sends requests one after another, to the hosts in turn, until `stop` is true.
/// Returns the responses without those of hosts whose readiness check fails: a
/// load balancer sends nothing to these.
async fn send_until(
    callers: Vec<crate::support::Caller>,
    stop: tokio::sync::watch::Receiver<bool>,
) -> Vec<Response> {
    let mut responses = Vec::new();
    let mut number = 0;
    while !*stop.borrow() {
        number += 1;
        let caller = &callers[number % callers.len()];
        let response = caller.chat(&format!("rolling {number}"), TOKENS, true).await;
        let refused =
            response.status.is_none() || NOT_SERVING_REASONS.contains(&response.reason.as_str());
        if !refused {
            responses.push(response);
        }
    }
    responses
}

#[actix_rt::test]
async fn a_rolling_restart_under_load_cuts_no_response_and_runs_no_request_twice() {
    let mut fleet = Fleet::start(3).await;
    let callers: Vec<_> = (0..3).map(|host| fleet.caller(host)).collect();
    let (tx, rx) = tokio::sync::watch::channel(false);
    let loads: Vec<_> =
        (0..4).map(|_| actix_rt::spawn(send_until(callers.clone(), rx.clone()))).collect();
    for host in 0..3 {
        fleet.daemon(host).signal(Signal::Terminate).unwrap();
        let status = fleet.daemons[host].as_mut().unwrap().exited().await.unwrap();
        assert!(status.success(), "{status}");
        fleet.restart(host).await;
    }
    tx.send_replace(true);
    let mut answered = 0;
    for responses in join_all(loads).await {
        for response in responses.unwrap() {
            assert!(response.is_complete(), "{response:?}");
            answered += 1;
        }
    }
    println!("{answered} requests answered over the restart of three hosts");
    assert_eq!(fleet.engine.log().count(), answered);
    assert_each_ran_once(fleet.engine.log());
}

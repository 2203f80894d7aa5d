//! Hosts that die or are replaced with requests in every state.

use std::time::Duration;

use comfreyway_testkit::{
    daemon::{Signal, eventually},
    store::StoreFaults,
};
use futures_util::future::join_all;

use crate::support::Answer;

use super::fleet::{Fleet, assert_each_ran_once};

const TOKENS: u32 = 3;
/// Requests of one host that are sent while the engine holds everything.
const BURST: usize = 40;

/// Reasons with which a host refuses whose readiness check fails.
const NOT_SERVING: [&str; 2] = ["stopping", "not-ready"];

/// Sends a burst to one host without waiting for the answers.
fn burst(fleet: &Fleet, host: usize, tag: &'static str) -> actix_rt::task::JoinHandle<Vec<Answer>> {
    let caller = fleet.caller(host);
    let calls = (0..BURST).map(move |n| {
        let caller = caller.clone();
        async move { caller.chat(&format!("{tag} {n}"), TOKENS, false).await }
    });
    actix_rt::spawn(join_all(calls))
}

/// Waits until the engine has got some of the requests.
async fn some_ran(fleet: &Fleet, tag: &str) {
    let ran = |body: &[u8]| String::from_utf8_lossy(body).contains(tag);
    let found = || async {
        let runs = fleet.engine.log().runs();
        runs.iter().any(|run| ran(&run.body)).then_some(())
    };
    eventually(found).await.unwrap();
}

/// Runs whose body has the tag.
fn runs(fleet: &Fleet, tag: &str) -> usize {
    let runs = fleet.engine.log().runs();
    runs.iter().filter(|run| String::from_utf8_lossy(&run.body).contains(tag)).count()
}

/// Runs whose body has the tag, with those that a host sent before its death
/// and the engine reads only now. The engine has one thread: what had arrived
/// before the first question is in its log after the second.
async fn runs_so_far(fleet: &Fleet, tag: &str) -> usize {
    let url = format!("http://{}/v1/load", fleet.engine.address());
    for _ in 0..2 {
        let mut answer = awc::Client::default().get(&url).send().await.unwrap();
        answer.body().await.unwrap();
    }
    runs(fleet, tag)
}

#[actix_rt::test]
async fn what_waited_in_a_killed_entry_never_runs() {
    let mut fleet = Fleet::start(3).await;
    let (owner, standby) = (fleet.owner().await, fleet.standby().await);
    let entry = fleet.other_than(&[owner, standby]);
    fleet.engine.gate().close();
    let lost = burst(&fleet, entry, "lost");
    some_ran(&fleet, "lost").await;
    fleet.kill(entry);
    assert!(lost.await.unwrap().iter().all(|answer| !answer.looks_answered()));
    let before = runs_so_far(&fleet, "lost").await;
    assert!(before < BURST, "some requests still waited");
    let kept = burst(&fleet, owner, "kept");
    fleet.engine.gate().open();
    assert!(kept.await.unwrap().iter().all(Answer::looks_answered));
    assert_eq!(runs(&fleet, "kept"), BURST);
    assert_eq!(runs(&fleet, "lost"), before, "a request of the killed entry ran after its death");
    assert_each_ran_once(fleet.engine.log());
}

#[actix_rt::test]
async fn a_host_that_is_entry_and_owner_dies_with_requests_of_others_waiting() {
    let mut fleet = Fleet::start(3).await;
    let owner = fleet.owner().await;
    let entry = fleet.other_than(&[owner]);
    fleet.engine.gate().close();
    let lost = burst(&fleet, owner, "lost");
    let kept = burst(&fleet, entry, "kept");
    some_ran(&fleet, "lost").await;
    fleet.kill(owner);
    assert!(lost.await.unwrap().iter().all(|answer| !answer.looks_answered()));
    let before = runs_so_far(&fleet, "lost").await;
    fleet.record_when(|record| record.epoch.issued == 2).await;
    fleet.engine.gate().open();
    assert!(kept.await.unwrap().iter().all(Answer::looks_answered));
    assert_eq!((runs(&fleet, "kept"), runs(&fleet, "lost")), (BURST, before));
    assert_each_ran_once(fleet.engine.log());
}

#[actix_rt::test]
async fn a_lost_reply_to_the_epoch_write_is_read_back() {
    let mut fleet = Fleet::start(3).await;
    let (owner, standby) = (fleet.owner().await, fleet.standby().await);
    let entry = fleet.other_than(&[owner, standby]);
    fleet.kv.set_faults(StoreFaults::new().with_lost_replies("comfreyway/pools/", 2));
    fleet.kill(owner);
    let answers = burst(&fleet, entry, "after").await.unwrap();
    assert!(answers.iter().all(Answer::looks_answered));
    let record = fleet.record_when(|record| record.epoch.issued > 1).await;
    assert_eq!((record.epoch.issued, record.epoch.provisional), (2, 0));
    assert_each_ran_once(fleet.engine.log());
}

#[actix_rt::test]
async fn a_service_slow_by_two_seconds_delays_no_request() {
    let fleet = Fleet::start(3).await;
    fleet.kv.set_faults(StoreFaults::new().with_delay(Duration::from_secs(2)));
    for host in 0..3 {
        let answers = burst(&fleet, host, ["first", "second", "third"][host]).await.unwrap();
        assert!(answers.iter().all(Answer::looks_answered));
    }
    assert_eq!(fleet.engine.log().count(), 3 * BURST);
    assert_each_ran_once(fleet.engine.log());
}

/// Sends requests one after another, each to the next host that takes it, until
/// it is told to end. Returns the answers other than those of hosts to which a
/// balancer sends nothing: their readiness check fails.
async fn load(
    callers: Vec<crate::support::Caller>,
    end: tokio::sync::watch::Receiver<bool>,
) -> Vec<Answer> {
    let mut answers = Vec::new();
    let mut number = 0;
    while !*end.borrow() {
        number += 1;
        let caller = &callers[number % callers.len()];
        let answer = caller.chat(&format!("rolling {number}"), TOKENS, true).await;
        let refused = answer.status.is_none() || NOT_SERVING.contains(&answer.reason.as_str());
        if !refused {
            answers.push(answer);
        }
    }
    answers
}

#[actix_rt::test]
async fn a_rolling_restart_under_load_cuts_and_doubles_nothing() {
    let mut fleet = Fleet::start(3).await;
    let callers: Vec<_> = (0..3).map(|host| fleet.caller(host)).collect();
    let (tx, rx) = tokio::sync::watch::channel(false);
    let loads: Vec<_> =
        (0..4).map(|_| actix_rt::spawn(load(callers.clone(), rx.clone()))).collect();
    for host in 0..3 {
        fleet.daemon(host).signal(Signal::Terminate).unwrap();
        let status = fleet.daemons[host].as_mut().unwrap().exited().await.unwrap();
        assert!(status.success(), "{status}");
        fleet.restart(host).await;
    }
    tx.send_replace(true);
    let mut answered = 0;
    for answers in join_all(loads).await {
        for answer in answers.unwrap() {
            assert!(answer.looks_answered(), "{answer:?}");
            answered += 1;
        }
    }
    println!("{answered} requests answered over the restart of three hosts");
    assert_eq!(fleet.engine.log().count(), answered);
    assert_each_ran_once(fleet.engine.log());
}

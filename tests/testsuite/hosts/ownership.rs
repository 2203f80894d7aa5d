//! Takeover of a pool whose owner is killed, paused or stopped.

use std::time::{Duration, Instant};

use comfreyway_testkit::{
    daemon::{Signal, eventually},
    store::{StoreFaults, StoreOutage},
};
use futures_util::future::join_all;

use crate::support::Response;

use super::fleet::{Fleet, assert_each_ran_once};

const TOKENS: u32 = 3;
/// Longest time from the kill of an owner to its successor's first grant.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(3);

/// Sends different requests to one host and waits for all responses.
async fn send(fleet: &Fleet, host: usize, tag: &str, count: usize) -> Vec<Response> {
    let calls = (0..count).map(|n| {
        let (caller, content) = (fleet.caller(host), format!("{tag} {n}"));
        async move { caller.chat(&content, TOKENS, false).await }
    });
    join_all(calls).await
}

fn assert_all_answered(responses: &[Response]) {
    for response in responses {
        assert!(response.is_complete(), "{response:?}");
    }
}

#[actix_rt::test]
async fn every_host_serves_through_one_owner() {
    let fleet = Fleet::start(3).await;
    for host in 0..3 {
        assert_all_answered(&send(&fleet, host, &format!("host {host}"), 4).await);
    }
    assert_eq!(fleet.engine.log().count(), 12);
    assert_each_ran_once(fleet.engine.log());
}

#[actix_rt::test]
async fn waiting_requests_survive_a_killed_owner() {
    let mut fleet = Fleet::start(3).await;
    let (owner, standby) = (fleet.owner().await, fleet.standby().await);
    let entry = fleet.other_than(&[owner, standby]);
    fleet.engine.gate().close();
    let caller = fleet.caller(entry);
    let calls = (0..40).map(|n| {
        let (caller, content) = (caller.clone(), format!("question {n}"));
        async move { caller.chat(&content, TOKENS, false).await }
    });
    let calls = actix_rt::spawn(join_all(calls));
    eventually(|| async { (fleet.engine.log().count() > 0).then_some(()) }).await.unwrap();
    let killed = Instant::now();
    fleet.kill(owner);
    fleet.wait_for_record(|record| record.epoch.issued == 2).await;
    let takeover = killed.elapsed();
    fleet.engine.gate().open();
    assert_all_answered(&calls.await.unwrap());
    assert_eq!(fleet.engine.log().count(), 40);
    assert_each_ran_once(fleet.engine.log());
    println!("taken over {} ms after the kill", takeover.as_millis());
    assert!(takeover < TAKEOVER_LIMIT, "taken over after {takeover:?}");
}

#[actix_rt::test]
async fn a_new_request_is_granted_soon_after_the_owner_is_killed() {
    let mut fleet = Fleet::start(3).await;
    let (owner, standby) = (fleet.owner().await, fleet.standby().await);
    let entry = fleet.other_than(&[owner, standby]);
    let killed = Instant::now();
    fleet.kill(owner);
    assert_all_answered(&send(&fleet, entry, "after", 1).await);
    let served = killed.elapsed();
    println!("first response {} ms after the kill", served.as_millis());
    assert!(served < TAKEOVER_LIMIT, "served after {served:?}");
}

#[actix_rt::test]
async fn a_paused_owner_is_superseded_and_stays_so_after_it_resumes() {
    let fleet = Fleet::start(3).await;
    let (owner, standby) = (fleet.owner().await, fleet.standby().await);
    let entry = fleet.other_than(&[owner, standby]);
    fleet.daemon(owner).signal(Signal::Stop).unwrap();
    assert_all_answered(&send(&fleet, entry, "paused", 8).await);
    assert_eq!(fleet.owner().await, standby);
    fleet.daemon(owner).signal(Signal::Continue).unwrap();
    for host in 0..3 {
        assert_all_answered(&send(&fleet, host, &format!("woken {host}"), 8).await);
    }
    assert_eq!(fleet.owner().await, standby);
    assert_each_ran_once(fleet.engine.log());
}

#[actix_rt::test]
async fn requests_are_served_and_a_killed_owner_is_superseded_during_an_outage() {
    let mut fleet = Fleet::start(3).await;
    let (owner, standby) = (fleet.owner().await, fleet.standby().await);
    let entry = fleet.other_than(&[owner, standby]);
    fleet.kv.set_faults(StoreFaults::new().with_outage(StoreOutage::Cut));
    assert_all_answered(&send(&fleet, entry, "outage", 8).await);
    fleet.kill(owner);
    assert_all_answered(&send(&fleet, entry, "followed", 8).await);
    fleet.kv.set_faults(StoreFaults::new());
    fleet.wait_for_record(|record| record.epoch.issued == 2).await;
    assert_all_answered(&send(&fleet, entry, "over", 8).await);
    assert_each_ran_once(fleet.engine.log());
}

#[actix_rt::test]
async fn a_stopping_owner_hands_its_pool_over_and_every_request_gets_a_response() {
    let mut fleet = Fleet::start(3).await;
    let owner = fleet.owner().await;
    let entry = fleet.other_than(&[owner]);
    fleet.engine.gate().close();
    let (first, second) = (fleet.caller(owner), fleet.caller(entry));
    let calls = (0..10).flat_map(|n| [(first.clone(), n), (second.clone(), n + 100)]);
    let calls = calls.map(|(caller, n)| async move {
        caller.chat(&format!("question {n}"), TOKENS, false).await
    });
    let calls = actix_rt::spawn(join_all(calls));
    eventually(|| async { (fleet.engine.log().count() > 0).then_some(()) }).await.unwrap();
    let signalled = Instant::now();
    fleet.daemon(owner).signal(Signal::Terminate).unwrap();
    fleet.wait_for_record(|record| record.epoch.issued == 2).await;
    println!("taken over {} ms after the signal", signalled.elapsed().as_millis());
    fleet.engine.gate().open();
    let responses = calls.await.unwrap();
    let refused = responses.iter().filter(|response| response.reason == "stopping").count();
    let answered = responses.iter().filter(|response| response.is_complete()).count();
    assert_eq!(refused + answered, 20, "{responses:?}");
    assert_eq!(fleet.engine.log().count(), answered);
    assert_each_ran_once(fleet.engine.log());
    let status = fleet.daemons[owner].as_mut().unwrap().exited().await.unwrap();
    assert!(status.success(), "{status}");
}

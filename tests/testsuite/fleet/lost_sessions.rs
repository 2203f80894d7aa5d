//! Clients of a coordinator that are frozen for longer or shorter than their session lasts.

use std::{cell::Cell, rc::Rc, time::Duration};

use actix_rt::{task::JoinHandle, time::sleep};
use comfreyway_platform::KeyValue;
use comfreyway_testkit::{
    daemon::{Signal, eventually},
    fleet_runner::RunnerMode,
};
use rstest::rstest;
use serde_json::json;

use crate::support::Daemon;

use super::harness::{DEADLINE, DESK_KEY, FleetHarness, KEY, call_with, runner_entry, try_call_at};

const HOSTS: usize = 3;

const FIRST_ENTRY: &str = "comfreyway/hosts/h0";

/// Callers that ask the frozen host all the time. Their requests wait for it when it wakes.
const CALLERS: usize = 24;

const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Requests that each host gets afterwards.
const CHECKS: usize = 10;

/// Time for a host that woke up to serve: it tries a coordinator, or uses its own.
const RECOVERY_TIME: Duration = Duration::from_millis(1_500);

/// The host that wins the election, as a client of another one: the others did not know it
/// when they elected a coordinator, which is kept.
struct Fleet {
    hosts: Vec<Daemon>,
    /// Index of the coordinator.
    coordinator: usize,
    _harness: FleetHarness,
}

impl Fleet {
    async fn new() -> Self {
        let harness = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
        let mut entry = runner_entry(harness.runners[0].address(), "survey", "ready");
        entry["slots"] = json!(64);
        harness.store.put("servers/r1", entry.to_string().as_bytes());
        let mut hosts = vec![harness.start_host("h0").await];
        let listed = || async { harness.store.keys().get(FIRST_ENTRY).await.unwrap() };
        let entry = eventually(listed).await.expect("the first host is not in the store");
        harness.store.delete(FIRST_ENTRY);
        for number in 1..HOSTS {
            hosts.push(harness.start_host(&format!("h{number}")).await);
        }
        let coordinator = || async {
            let log = hosts[0].log();
            let line = log.lines().find(|line| line.contains("event=CF0532"))?;
            (1..HOSTS).find(|number| line.contains(&format!("host=h{number}#")))
        };
        let coordinator = eventually(coordinator).await.expect("the first host found no other");
        let joined = || async {
            let log = hosts[coordinator].log();
            (log.matches("event=CF0535").count() == HOSTS - 1).then_some(())
        };
        eventually(joined).await.expect("not all hosts have joined the coordinator");
        harness.store.put(FIRST_ENTRY, &entry.value);
        Self { hosts, coordinator, _harness: harness }
    }

    /// Starts callers of the first host, until the result is set.
    fn start_callers(&self) -> (Rc<Cell<bool>>, Vec<JoinHandle<()>>) {
        let stop = Rc::new(Cell::new(false));
        let address = self.hosts[0].settings().callers;
        let start = |caller: usize| {
            let stop = stop.clone();
            actix_rt::spawn(async move {
                let mut call = 0;
                while !stop.get() {
                    // What is served while hosts are frozen isn't checked.
                    drop(try_call_at(address, &format!("{caller}-{call}"), "/lookup/").await);
                    call += 1;
                    sleep(CALL_INTERVAL).await;
                }
            })
        };
        let callers = (0..CALLERS).map(start).collect();
        (stop, callers)
    }
}

/// What happens to the coordinator while its clients are frozen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Coordinator {
    Lives,
    IsKilled,
    Stops,
}

/// The first host was left a client without a session, though it wins the election: it was
/// ready and no request was placed there any more.
#[rstest]
#[case::longer_than_the_session(2_500, 1, Coordinator::Lives)]
#[case::shorter_than_the_session(900, 1, Coordinator::Lives)]
#[case::together_with_another_client(2_500, 2, Coordinator::Lives)]
#[case::while_the_coordinator_is_killed(2_500, 2, Coordinator::IsKilled)]
#[case::while_the_coordinator_stops(2_500, 2, Coordinator::Stops)]
#[actix_rt::test]
async fn hosts_that_were_frozen_serve_again(
    #[case] frozen_ms: u64,
    #[case] frozen: usize,
    #[case] happens: Coordinator,
) {
    let fleet = Fleet::new().await;
    let (stop, callers) = fleet.start_callers();
    sleep(RECOVERY_TIME).await;
    let coordinator = &fleet.hosts[fleet.coordinator];
    let clients = (0..HOSTS).filter(|number| *number != fleet.coordinator);
    let clients: Vec<_> = clients.map(|number| &fleet.hosts[number]).collect();
    clients[..frozen].iter().for_each(|host| host.signal(Signal::Stop).unwrap());
    sleep(Duration::from_millis(frozen_ms / 2)).await;
    match happens {
        Coordinator::Lives => {}
        Coordinator::IsKilled => coordinator.signal(Signal::Kill).unwrap(),
        Coordinator::Stops => coordinator.signal(Signal::Terminate).unwrap(),
    }
    sleep(Duration::from_millis(frozen_ms / 2)).await;
    clients[..frozen].iter().for_each(|host| host.signal(Signal::Continue).unwrap());
    sleep(RECOVERY_TIME).await;
    for (number, host) in clients.iter().enumerate() {
        assert!(host.is_ready().await, "client {number} is not ready");
        for check in 0..CHECKS {
            let headers = [(KEY, DESK_KEY), (DEADLINE, "2000")];
            let id = format!("check-{number}-{check}");
            let response = call_with(host, &id, "/lookup/", &headers, "").await;
            assert_eq!(response.status, 200, "{id}: {response:?}");
        }
    }
    stop.set(true);
    futures_util::future::join_all(callers).await;
}

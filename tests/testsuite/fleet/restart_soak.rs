//! All hosts lose power at once and come back, again and again, as on real machines: their
//! ports may be taken, the store may be out, and runners send second copies of responses.
//! Drawn from a seed. No request that may run at most once runs twice or after a refusal,
//! and all hosts serve within the users' time for recovery.
//!
//! CI runs two seeds. To run fifty by hand:
//!
//! ```text
//! cargo test --test testsuite restart_soak -- --ignored
//! ```

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    time::Duration,
};

use actix_rt::{
    task::JoinHandle,
    time::{sleep, timeout},
};
use comfreyway_testkit::{
    daemon::DaemonSettings,
    fleet_runner::RunnerMode,
    repeating_runner::RepeatingRunner,
    store::{StoreFaults, StoreOutage},
};
use futures_util::future::join_all;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use socket2::{Domain, Socket, Type};

use crate::support::Daemon;

use super::harness::{FleetHarness, runner_entry, try_call_at};

const HOSTS: usize = 4;
const CALLERS: usize = 12;
const ROUNDS: usize = 4;

/// Time of the users' deployments for recovery.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Longest time for which a port stays taken after the start of its host.
pub(super) const MAX_TAKEN_MS: u64 = 1_500;

/// Statuses that guarantee that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Path whose requests may run at most once.
const PATH: &str = "/lookup/count/";

/// A socket on a port of a host that is down.
pub(super) enum TakenPort {
    /// Held by the socket until it closes.
    Listener { _listener: TcpListener },
    /// Held by a connection, which the other side closes first.
    Connection { accepted: Option<TcpStream>, _outgoing: Socket },
}

impl TakenPort {
    /// Takes a port, unless the process of before still has it.
    pub(super) fn take(port: SocketAddr, by_connection: bool) -> Option<Self> {
        if !by_connection {
            return Some(Self::Listener { _listener: TcpListener::bind(port).ok()? });
        }
        let listener = TcpListener::bind((port.ip(), 0)).ok()?;
        let outgoing = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
        outgoing.bind(&port.into()).ok()?;
        outgoing.connect(&listener.local_addr().ok()?.into()).ok()?;
        let accepted = Some(listener.accept().ok()?.0);
        Some(Self::Connection { accepted, _outgoing: outgoing })
    }
}

impl Drop for TakenPort {
    fn drop(&mut self) {
        if let Self::Connection { accepted, .. } = self {
            drop(accepted.take());
        }
    }
}

/// Statuses of the callers' requests, by id. Zero without a response.
type Statuses = Rc<RefCell<BTreeMap<String, u16>>>;

fn start_caller(number: usize, seed: u64, hosts: Vec<SocketAddr>, out: Statuses) -> JoinHandle<()> {
    actix_rt::spawn(async move {
        let mut rng = StdRng::seed_from_u64(seed << 8 | number as u64);
        for call in 0.. {
            let host = hosts[rng.random_range(0..hosts.len())];
            let id = format!("{number}-{call}");
            let response = try_call_at(host, &id, PATH).await;
            out.borrow_mut().insert(id, response.map_or(0, |response| response.status));
            sleep(Duration::from_millis(15)).await;
        }
    })
}

/// Waits until a host serves a request.
async fn wait_until_served(host: SocketAddr, name: &str) {
    for attempt in 0.. {
        let id = format!("after-{name}-{attempt}");
        if try_call_at(host, &id, PATH).await.is_some_and(|response| response.status == 200) {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

fn put_repeating(fleet: &FleetHarness, number: usize, runner: &RepeatingRunner) {
    let entry = runner_entry(runner.address(), "survey", "ready").to_string();
    fleet.store.put(&format!("servers/copy{number}"), entry.as_bytes());
}

/// Leaves only the first runner that rejects requests for a while, so that they come back
/// to it.
async fn leave_rejecting_runners(
    fleet: &FleetHarness,
    repeating: &[RepeatingRunner],
    time: Duration,
) {
    fleet.store.delete("servers/r1");
    (1..repeating.len()).for_each(|number| fleet.store.delete(&format!("servers/copy{number}")));
    sleep(time).await;
    fleet.put_runner(&fleet.runners[0], "survey", "ready");
    for (number, runner) in repeating.iter().enumerate() {
        put_repeating(fleet, number, runner);
    }
}

async fn run(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole).with_runner(
        "survey",
        "r2",
        RunnerMode::Whole,
    );
    let firsts = [(503, "x-comfreyway-not-executed: 1\r\n"), (200, ""), (500, "")];
    let repeating = firsts.map(|first| RepeatingRunner::start("copy", first).unwrap());
    for (number, runner) in repeating.iter().enumerate() {
        put_repeating(&fleet, number, runner);
    }
    let settings: Vec<DaemonSettings> =
        (0..HOSTS).map(|host| fleet.settings(&format!("h{host}"))).collect();
    let addresses: Vec<_> = settings.iter().map(|settings| settings.callers).collect();
    let mut hosts: Vec<Daemon> = settings.iter().cloned().map(Daemon::start).collect();
    let statuses = Statuses::default();
    let callers =
        (0..CALLERS).map(|number| start_caller(number, seed, addresses.clone(), statuses.clone()));
    let callers: Vec<_> = callers.collect();
    for round in 0..ROUNDS {
        sleep(Duration::from_millis(rng.random_range(300..1_000))).await;
        let all_reject = Duration::from_millis(rng.random_range(0..600));
        leave_rejecting_runners(&fleet, &repeating, all_reject).await;
        // Ends all processes at once.
        hosts.clear();
        let outages = [None, None, Some(StoreOutage::Cut), Some(StoreOutage::Silent)];
        if let Some(outage) = outages[rng.random_range(0..outages.len())] {
            fleet.store.set_faults(StoreFaults::new().with_outage(outage));
        }
        let taken = settings.iter().filter_map(|settings| {
            let ports = [settings.callers, settings.peers, settings.operators, settings.forward];
            let port = ports[rng.random_range(0..ports.len())];
            rng.random_bool(0.5).then(|| TakenPort::take(port, rng.random_bool(0.5))).flatten()
        });
        let taken: Vec<_> = taken.collect();
        hosts = settings.iter().cloned().map(Daemon::start).collect();
        sleep(Duration::from_millis(rng.random_range(0..MAX_TAKEN_MS))).await;
        drop(taken);
        fleet.store.set_faults(StoreFaults::new());
        let served = addresses.iter().enumerate();
        let names: Vec<_> = served.clone().map(|(host, _)| format!("{round}-{host}")).collect();
        let served = served.map(|(host, address)| wait_until_served(*address, &names[host]));
        let recovery = timeout(RECOVERY_TIME, join_all(served)).await;
        assert!(recovery.is_ok(), "seed {seed}: not all hosts serve after round {round}");
    }
    callers.iter().for_each(JoinHandle::abort);
    let mut runs = BTreeMap::<String, usize>::new();
    let whole = fleet.runners.iter().flat_map(|runner| runner.runs()).map(|run| run.request_id);
    let copied = repeating.iter().flat_map(RepeatingRunner::arrivals);
    let copied = copied.filter(|arrival| arrival.ran).map(|arrival| arrival.request_id);
    whole.chain(copied).for_each(|id| *runs.entry(id).or_default() += 1);
    let statuses = statuses.borrow();
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    let refused: Vec<_> = statuses
        .iter()
        .filter(|(id, status)| NOT_RUN_STATUSES.contains(status) && runs.contains_key(*id))
        .collect();
    let served = statuses.values().filter(|status| **status == 200).count();
    eprintln!("seed {seed}: {served} of {} served", statuses.len());
    assert!(twice.is_empty(), "seed {seed}: ran twice: {twice:?}");
    assert!(refused.is_empty(), "seed {seed}: ran and was refused: {refused:?}");
    assert!(served > 0, "seed {seed}: none served");
}

#[rstest]
#[actix_rt::test]
async fn hosts_that_all_lose_power_come_back_and_run_no_request_twice(#[values(1, 2)] seed: u64) {
    run(seed).await;
}

#[rstest]
#[actix_rt::test]
#[ignore = "takes minutes; run by hand before a release"]
async fn hosts_that_all_lose_power_fifty_times_come_back(#[values(1, 11, 21, 31, 41)] first: u64) {
    for seed in first..first + 10 {
        run(seed).await;
    }
}

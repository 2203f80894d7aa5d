//! One host under a crowd, and the checks on it.

use std::{
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use actix_rt::time::{sleep, timeout};
use comfreyway_testkit::{
    daemon::MAX_WAIT,
    fleet_runner::{FleetRunner, RunnerMode},
    measure::{FootprintSampler, in_transit_bytes},
};
use serde_json::{Value, json};
use tokio::sync::{Mutex, MutexGuard};

use crate::{
    harness::{FleetHarness, call, configuration},
    support::Daemon,
};

/// Memory of the smallest machine in bytes.
pub(crate) const MEMORY_BOUND_BYTES: u64 = 160_000_000;
/// Descriptors of the smallest machine.
const DESCRIPTORS_BOUND: usize = 4_100;

/// What a host may use, as its settings say.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) memory_bytes: u64,
    pub(crate) descriptors: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_bytes: MEMORY_BOUND_BYTES, descriptors: DESCRIPTORS_BOUND }
    }
}

/// Size of the largest legal body in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 4 << 20;
/// Longer than any test, so that no connection ends by a time limit.
const TIME_LIMIT_MS: u64 = 600_000;

/// Tries of the ordinary request.
const TRIES: u32 = 20;
/// Time between two tries if the host names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time between two looks at what the host has not read.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);
/// Looks after which the checks begin.
const SETTLE_POLLS: u32 = 600;
/// Equal looks after which the host reads no more.
const UNCHANGED_POLLS: u32 = 20;

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Waits until no other test runs.
pub(crate) async fn wait_for_other_tests() -> MutexGuard<'static, ()> {
    RUNNING.lock().await
}

/// A host with one runner, sampled from its start.
pub(crate) struct CrowdedHost {
    fleet: FleetHarness,
    daemon: Daemon,
    callers: SocketAddrV4,
    sampler: FootprintSampler,
    limits: Limits,
    _running: MutexGuard<'static, ()>,
}

impl CrowdedHost {
    /// Waits for the other tests and starts a host.
    pub(crate) async fn start() -> Self {
        Self::start_with(Limits::default()).await
    }

    /// Waits for the other tests and starts a host with these limits.
    pub(crate) async fn start_with(limits: Limits) -> Self {
        let running = wait_for_other_tests().await;
        let fleet = FleetHarness::new();
        fleet.put_configuration(patient_configuration());
        let fleet = fleet.with_runner("survey", "survey-1", RunnerMode::Whole);
        let settings = fleet
            .settings("a")
            .with_limit("memory", &limits.memory_bytes.to_string())
            .with_limit("descriptors", &limits.descriptors.to_string());
        let daemon = Daemon::start_ready(settings).await;
        let SocketAddr::V4(callers) = daemon.settings().callers else {
            panic!("the callers' address is not of IPv4")
        };
        let sampler = FootprintSampler::start(daemon.pid(), callers);
        Self { fleet, daemon, callers, sampler, limits, _running: running }
    }

    /// Address for callers.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.callers.into()
    }

    /// Writes an entry to the store.
    pub(crate) fn put(&self, key: &str, entry: &Value) {
        self.fleet.store.put(key, entry.to_string().as_bytes());
    }

    pub(crate) fn runner(&self) -> &FleetRunner {
        &self.fleet.runners[0]
    }

    /// Waits until the host has read what was sent, or reads no more.
    pub(crate) async fn settled(&self) {
        settled(self.callers).await;
    }

    /// Sends an ordinary request, again while the host asks for it.
    pub(crate) async fn assert_serves(&self) {
        let mut last = None;
        for number in 0..TRIES {
            let id = format!("ordinary-{number}");
            let response = timeout(MAX_WAIT, call(&self.daemon, &id, "/lookup/")).await;
            let response = response.expect("an ordinary request was not answered");
            if response.status == 200 {
                return;
            }
            assert!(matches!(response.status, 429 | 503), "{response:?}");
            let after = response.headers.get("retry-after").and_then(|value| value.parse().ok());
            sleep(after.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs_f64).min(MAX_WAIT)).await;
            last = Some(response);
        }
        panic!("an ordinary request was refused {TRIES} times: {last:?}");
    }

    /// Checks that the host lives and stayed within the smallest machine.
    pub(crate) fn assert_within_bounds(mut self) {
        assert!(!self.daemon.has_exited(), "the host has exited");
        let peak = self.sampler.stop().unwrap();
        eprintln!("{peak:?}");
        assert!(peak.memory_bytes <= self.limits.memory_bytes, "too much memory: {peak:?}");
        assert!(peak.descriptors <= self.limits.descriptors, "too many descriptors: {peak:?}");
    }
}

/// Waits until the host at this address has read what was sent, or reads no more.
pub(crate) async fn settled(callers: SocketAddrV4) {
    let (mut last, mut unchanged) = (u64::MAX, 0);
    for _ in 0..SETTLE_POLLS {
        let left = in_transit_bytes(callers).unwrap();
        unchanged = if left == last { unchanged + 1 } else { 0 };
        if unchanged == UNCHANGED_POLLS {
            return;
        }
        last = left;
        sleep(SETTLE_INTERVAL).await;
    }
}

/// Returns the configuration of the tests with the body limit of all deployments and time
/// limits that no test reaches.
fn patient_configuration() -> Value {
    let mut config = configuration(1);
    config["limits"]["maxBodyBytes"] = json!(MAX_BODY_BYTES);
    config["limits"]["headerTimeoutMs"] = json!(TIME_LIMIT_MS);
    config["limits"]["idleTimeoutMs"] = json!(TIME_LIMIT_MS);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = json!(TIME_LIMIT_MS);
    }
    config
}

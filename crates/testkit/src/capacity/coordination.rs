//! CPU time of a fleet's coordinator: one daemon, whose client hosts are
//! sessions of this process.

use std::{
    collections::BTreeMap,
    env, io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use comfreyway_core::{
    fleet::{
        Member, PlacementReply, PlacementRequest, RequestContent, RequestDigest, RequestUpdate,
    },
    ids::{HostId, IdError, RequestId, Tier},
    request::{DispatchEnd, RequestRecord, Target, Usage},
};
use comfreyway_node::fleet::wire::{Frame, SessionError, SessionSocket, ToCoordinator, ToHost};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use tokio::time::{Instant, interval, sleep, sleep_until};

use crate::{
    daemon::{DaemonProcess, DaemonSettings, eventually},
    measure::{ProcessSample, Table},
    store::StoreStandIn,
};

use super::CapacityOptions;

/// Number of hosts, requests per second of all hosts together, and runners. The
/// last row is the fleet size that the users require.
const RUNS: [(usize, u32, usize); 5] =
    [(95, 0, 550), (380, 0, 550), (95, 1_500, 550), (380, 750, 2_200), (380, 1_500, 2_200)];
/// Slots of a runner.
const SLOTS: u32 = 4;
/// Time between two heartbeats of a host, the same as in a daemon.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Time from the grant to the first token.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(120);
/// Time from the first token to the end.
const DECODE_TIME: Duration = Duration::from_millis(700);
/// Threads of this process that run the client hosts.
const CLIENT_THREADS: usize = 3;
/// Time for all sessions to connect, in which nothing is measured.
const WARM_UP: Duration = Duration::from_secs(3);
/// Prefix of the names of a daemon's traffic threads. In a fleet the control
/// thread is the main thread, whose name differs.
const TRAFFIC_THREAD_PREFIX: &str = "actix-rt";

/// Measures the coordinator at each size of [`RUNS`].
pub(super) async fn coordination(options: &CapacityOptions) -> io::Result<Vec<Table>> {
    let columns = [
        "hosts",
        "runners",
        "requests/s",
        "granted/s",
        "control % of a core",
        "us a request",
        "resident KiB",
    ];
    let mut table = Table::new("Coordinating a fleet", &columns);
    let mut idle = BTreeMap::new();
    for (hosts, per_second, runners) in RUNS {
        let (granted, busy, resident) = measure(hosts, per_second, runners, options).await?;
        if per_second == 0 {
            idle.insert(hosts, busy);
        }
        let of_requests = busy - idle.get(&hosts).copied().unwrap_or_default();
        let us_per_request = match granted > 0.0 {
            true => format!("{:.1}", of_requests * 1e6 / granted),
            false => "-".to_owned(),
        };
        table.push(vec![
            hosts.to_string(),
            runners.to_string(),
            per_second.to_string(),
            format!("{granted:.0}"),
            format!("{:.2}", busy * 100.0),
            us_per_request,
            (resident >> 10).to_string(),
        ]);
    }
    Ok(vec![table])
}

/// Returns grants per second, the cores used by control, and resident bytes.
async fn measure(
    hosts: usize,
    per_second: u32,
    runners: usize,
    options: &CapacityOptions,
) -> io::Result<(f64, f64, u64)> {
    let store = StoreStandIn::start()?;
    store.put("op/config", configuration().to_string().as_bytes());
    for number in 0..runners {
        store.put(&format!("servers/r{number}"), runner().to_string().as_bytes());
    }
    let settings = DaemonSettings::with_fleet_store("coordinator", store.address())?;
    let settings = settings.with_workers(1).with_fleet("region", "almaty");
    let mut daemon = DaemonProcess::start(&env::current_exe()?, &[], settings)?;
    daemon.ready().await?;
    let coordinator = coordinator_entry(&store).await?;
    let granted = Arc::new(AtomicU64::new(0));
    let time = WARM_UP + options.duration() + Duration::from_secs(1);
    let threads: Vec<_> = (0..CLIENT_THREADS)
        .map(|thread| {
            let granted = granted.clone();
            let (address, token) = (coordinator.address, coordinator.token);
            let request_interval = (per_second > 0)
                .then(|| Duration::from_secs(1).mul_f64(hosts as f64 / f64::from(per_second)));
            let run_hosts = move || {
                actix_rt::System::new().block_on(async move {
                    for number in (0..hosts).filter(|number| number % CLIENT_THREADS == thread) {
                        let granted = granted.clone();
                        actix_rt::spawn(async move {
                            let host = ClientHost::new(number, request_interval, granted);
                            if let Err(e) = host.run(address, token).await {
                                eprintln!(
                                    "capacity: the session of client host {number} ended: {e}"
                                );
                            }
                        });
                    }
                    sleep(time).await;
                });
            };
            thread::spawn(run_hosts)
        })
        .collect();
    sleep(WARM_UP).await;
    let (before, granted_before) =
        (ProcessSample::read(daemon.pid())?, granted.load(Ordering::Relaxed));
    sleep(options.duration()).await;
    let (after, granted_after) =
        (ProcessSample::read(daemon.pid())?, granted.load(Ordering::Relaxed));
    for thread in threads {
        thread.join().map_err(|_| io::Error::other("a thread of client hosts panicked"))?;
    }
    let used = after.since(&before);
    let control = used.total() - used.of_threads(TRAFFIC_THREAD_PREFIX, 0);
    let seconds = options.duration().as_secs_f64();
    Ok((
        (granted_after - granted_before) as f64 / seconds,
        control.as_secs_f64() / seconds,
        after.resident_bytes,
    ))
}

/// Waits for the daemon's own entry in the store and returns it.
async fn coordinator_entry(store: &StoreStandIn) -> io::Result<Member> {
    let read = || {
        let items = store.keys().with_store(|keys, now| keys.list("comfreyway/hosts/", now));
        items.first().and_then(|item| serde_json::from_slice::<Member>(&item.value).ok())
    };
    let entry = eventually(async || read()).await;
    entry.ok_or_else(|| io::Error::other("the daemon has no entry in the store"))
}

/// Client host: submits requests to the coordinator and reports their progress.
struct ClientHost {
    id: HostId,
    rng: StdRng,
    number: usize,
    /// Mean time between two requests; none if the host sends none.
    request_interval: Option<Duration>,
    /// Last number used to make request IDs and keys of `updates`.
    sequence: u64,
    /// Updates to send, by the time at which they are due.
    updates: BTreeMap<(Instant, u64), RequestUpdate>,
    granted: Arc<AtomicU64>,
}

impl ClientHost {
    fn new(number: usize, request_interval: Option<Duration>, granted: Arc<AtomicU64>) -> Self {
        let name = format!("asking-{number}").parse().unwrap_or_else(|_| unreachable!());
        let rng = StdRng::seed_from_u64(number as u64);
        let id = HostId { name, incarnation: 1 };
        Self { id, rng, number, request_interval, sequence: 0, updates: BTreeMap::new(), granted }
    }

    async fn run(mut self, address: SocketAddr, token: u64) -> Result<(), SessionError> {
        // Spreads the connects; all at once would queue at the listener.
        sleep(WARM_UP.mul_f64(self.rng.random_range(0.0..0.6))).await;
        let mut socket = SessionSocket::connect(self.id.clone(), address, token).await?;
        let mut pings = interval(PING_INTERVAL);
        let started = Instant::now();
        let far_future = Duration::from_secs(86_400);
        let mut next = started + self.request_interval.unwrap_or(far_future);
        loop {
            let update_key = self.updates.keys().next().copied();
            let update_at = update_key.map_or(started + far_future, |(at, _)| at);
            tokio::select! {
                message = socket.read::<ToHost>() => {
                    if let ToHost::Reply(PlacementReply::Grant(id, ..)) = message? {
                        self.record_grant(id);
                    }
                }
                _ = pings.tick() => {
                    let sent = started.elapsed().as_micros() as u64;
                    socket.send(Frame::new(&ToCoordinator::Ping(sent))?).await?;
                }
                () = sleep_until(next) => {
                    let mean_interval = self.request_interval.unwrap_or(far_future);
                    next += mean_interval.mul_f64(self.rng.random_range(0.5..1.5));
                    let request =
                        self.placement_request().map_err(|e| SessionError::Codec(e.to_string()))?;
                    let update = ToCoordinator::Update(RequestUpdate::Submit(Box::new(request)));
                    socket.send(Frame::new(&update)?).await?;
                }
                () = sleep_until(update_at) => {
                    if let Some(update) = update_key.and_then(|key| self.updates.remove(&key)) {
                        socket.send(Frame::new(&ToCoordinator::Update(update))?).await?;
                    }
                }
            }
        }
    }

    fn record_grant(&mut self, id: RequestId) {
        self.granted.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let usage = Usage {
            prefill_tokens: 2_000,
            cached_tokens: 0,
            decode_tokens: 100,
            first_token: FIRST_TOKEN_TIME,
            total: FIRST_TOKEN_TIME + DECODE_TIME,
            until_close: false,
            failed: false,
        };
        self.sequence += 1;
        self.updates.insert((now + FIRST_TOKEN_TIME, self.sequence), RequestUpdate::FirstToken(id));
        let end = RequestUpdate::Ended(id, DispatchEnd::Complete(usage));
        self.updates.insert((now + FIRST_TOKEN_TIME + DECODE_TIME, self.sequence), end);
    }

    fn placement_request(&mut self) -> Result<PlacementRequest, IdError> {
        self.sequence += 1;
        let id = RequestId::new(((self.number as u128) << 64) | u128::from(self.sequence));
        let record = RequestRecord {
            id,
            entry: self.id.clone(),
            workspace: "desk".parse()?,
            class: "report".parse()?,
            tier: Tier(1),
            target: Target::Stream {
                first_token: Duration::from_millis(1_300),
                between_tokens: Duration::from_millis(76),
            },
            age: Duration::from_millis(1),
            prefill_tokens: 2_000,
            max_decode_tokens: None,
            prefix: Vec::new(),
            prefix_tokens: Vec::new(),
            length_hint: None,
            body_bytes: 8_000,
        };
        let digest = RequestDigest::new(&RequestContent {
            workspace: Some(&record.workspace),
            method: "POST",
            host: "desk.example",
            target: "/report/",
            body: &id.value().to_be_bytes(),
        });
        Ok(PlacementRequest {
            record,
            upstream: "dala".parse()?,
            parts: Vec::new(),
            digest: Some(digest),
            cost: 2_100.0,
            time_limit: Duration::from_secs(8),
            prior_attempts: 0,
            rejections: 0,
            resubmitted: false,
            avoid: None,
            stream: None,
        })
    }
}

fn runner() -> serde_json::Value {
    json!({
        "service": "dala", "address": "127.0.0.1:9", "zone": "medeu", "version": "v1",
        "slots": SLOTS, "state": "ready", "coldLeftMs": 0, "seq": 1,
    })
}

fn configuration() -> serde_json::Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "report", "host": "desk.example", "prefix": "/report/", "kind": "streaming",
            "timeoutMs": 8000, "sloMs": 1300, "gapTargetMs": 76, "priority": 1,
            "service": "dala", "attempts": 2, "public": false, "sticky": false,
            "resumable": false,
        }],
        "services": [{
            "name": "dala", "healthCheck": "/health", "maxConns": 100,
            "engine": { "slots": SLOTS, "stride": 3 },
        }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 100_000,
                    "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [{
            "name": "desk", "apiKeys": ["key"], "priority": 1, "unit": "tokens",
            "plainTokens": 200, "ratePerS": 0, "burst": 0,
        }],
    })
}

//! Cost of coordinating a fleet: one daemon that coordinates, asked by hosts
//! that are sessions of this process.

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
    fleet::{Member, PlacementReply, PlacementRequest, RequestUpdate},
    ids::{HostId, IdError, RequestId, Tier},
    request::{DispatchEnd, RequestRecord, Target, Usage},
};
use comfreyway_node::fleet::wire::{Frame, PeerSocket, SessionError, ToCoordinator, ToHost};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use tokio::time::{Instant, interval, sleep, sleep_until};

use crate::{
    daemon::{DaemonProcess, DaemonSettings, eventually},
    measure::{ProcessSample, Table},
    store::StoreStandIn,
};

use super::CapacityOptions;

/// Hosts, requests per second of all of them, and runners. The last row is the
/// size that the users' first letter names.
const RUNS: [(usize, u32, usize); 5] =
    [(95, 0, 550), (380, 0, 550), (95, 1_500, 550), (380, 750, 2_200), (380, 1_500, 2_200)];
/// Places of a runner.
const PLACES: u32 = 4;
/// Time between two signs of life of a host, as a daemon sends them.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Time to the first token, and from there to the end.
const FIRST_TOKEN: Duration = Duration::from_millis(120);
const TOKENS: Duration = Duration::from_millis(700);
/// Threads of this process for the asking hosts.
const THREADS: usize = 3;
/// Time for all sessions to come up, which is not counted.
const WARM_UP: Duration = Duration::from_secs(3);
/// Start of the names of a daemon's threads besides the first one, which holds
/// all decisions.
const TRAFFIC_THREADS: &str = "actix-rt";

/// Grows the hosts, the requests and the runners.
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
        let (granted, busy, resident) = run(hosts, per_second, runners, options).await?;
        if per_second == 0 {
            idle.insert(hosts, busy);
        }
        let of_requests = busy - idle.get(&hosts).copied().unwrap_or_default();
        let each = match granted > 0.0 {
            true => format!("{:.1}", of_requests * 1e6 / granted),
            false => "-".to_owned(),
        };
        table.push(vec![
            hosts.to_string(),
            runners.to_string(),
            per_second.to_string(),
            format!("{granted:.0}"),
            format!("{:.2}", busy * 100.0),
            each,
            (resident >> 10).to_string(),
        ]);
    }
    Ok(vec![table])
}

/// Grants per second, share of a core, and resident bytes.
async fn run(
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
    let settings = DaemonSettings::with_store("coordinator", store.address())?;
    let settings = settings.with_workers(1).with_fleet("region", "almaty");
    let mut daemon = DaemonProcess::start(&env::current_exe()?, &[], settings)?;
    daemon.ready().await?;
    let coordinator = entry(&store).await?;
    let granted = Arc::new(AtomicU64::new(0));
    let time = WARM_UP + options.duration() + Duration::from_secs(1);
    let threads: Vec<_> = (0..THREADS)
        .map(|thread| {
            let granted = granted.clone();
            let (address, token) = (coordinator.address, coordinator.token);
            let pace = (per_second > 0)
                .then(|| Duration::from_secs(1).mul_f64(hosts as f64 / f64::from(per_second)));
            let asking = move || {
                actix_rt::System::new().block_on(async move {
                    for number in (0..hosts).filter(|number| number % THREADS == thread) {
                        let granted = granted.clone();
                        actix_rt::spawn(async move {
                            let host = AskingHost::new(number, pace, granted);
                            if let Err(e) = host.ask(address, token).await {
                                eprintln!("capacity: host {number} stopped asking: {e}");
                            }
                        });
                    }
                    sleep(time).await;
                });
            };
            thread::spawn(asking)
        })
        .collect();
    sleep(WARM_UP).await;
    let (before, granted_before) =
        (ProcessSample::read(daemon.pid())?, granted.load(Ordering::Relaxed));
    sleep(options.duration()).await;
    let (after, granted_after) =
        (ProcessSample::read(daemon.pid())?, granted.load(Ordering::Relaxed));
    for thread in threads {
        thread.join().map_err(|_| io::Error::other("a thread of asking hosts has failed"))?;
    }
    let used = after.since(&before);
    let control = used.total() - used.of_threads(TRAFFIC_THREADS, 0);
    let seconds = options.duration().as_secs_f64();
    Ok((
        (granted_after - granted_before) as f64 / seconds,
        control.as_secs_f64() / seconds,
        after.resident_bytes,
    ))
}

/// The daemon's own entry in the store.
async fn entry(store: &StoreStandIn) -> io::Result<Member> {
    let read = || {
        let items = store.keys().with_store(|keys, now| keys.list("comfreyway/hosts/", now));
        items.first().and_then(|item| serde_json::from_slice::<Member>(&item.value).ok())
    };
    let entry = eventually(async || read()).await;
    entry.ok_or_else(|| io::Error::other("the daemon has no entry in the store"))
}

/// A host that asks the coordinator.
struct AskingHost {
    id: HostId,
    rng: StdRng,
    number: usize,
    /// Time between two requests.
    pace: Option<Duration>,
    asked: u64,
    /// What it reports, in the order of its time.
    reports: BTreeMap<(Instant, u64), RequestUpdate>,
    granted: Arc<AtomicU64>,
}

impl AskingHost {
    fn new(number: usize, pace: Option<Duration>, granted: Arc<AtomicU64>) -> Self {
        let name = format!("asking-{number}").parse().unwrap_or_else(|_| unreachable!());
        let rng = StdRng::seed_from_u64(number as u64);
        let id = HostId { name, incarnation: 1 };
        Self { id, rng, number, pace, asked: 0, reports: BTreeMap::new(), granted }
    }

    async fn ask(mut self, address: SocketAddr, token: u64) -> Result<(), SessionError> {
        // All at once would be a queue at the listener, not a load.
        sleep(WARM_UP.mul_f64(self.rng.random_range(0.0..0.6))).await;
        let mut socket = PeerSocket::connect(self.id.clone(), address, token).await?;
        let mut pings = interval(PING_INTERVAL);
        let started = Instant::now();
        let day = Duration::from_secs(86_400);
        let mut next = started + self.pace.unwrap_or(day);
        loop {
            let report = self.reports.keys().next().copied();
            let report_at = report.map_or(started + day, |(at, _)| at);
            tokio::select! {
                message = socket.read::<ToHost>() => {
                    if let ToHost::Reply(PlacementReply::Grant(id, _)) = message? {
                        self.note_grant(id);
                    }
                }
                _ = pings.tick() => {
                    let sent = started.elapsed().as_micros() as u64;
                    socket.send(Frame::new(&ToCoordinator::Ping(sent))?).await?;
                }
                () = sleep_until(next) => {
                    let pace = self.pace.unwrap_or(day);
                    next += pace.mul_f64(self.rng.random_range(0.5..1.5));
                    let question = self.question().map_err(|e| SessionError::Codec(e.to_string()))?;
                    let ask = ToCoordinator::Update(RequestUpdate::Submit(Box::new(question)));
                    socket.send(Frame::new(&ask)?).await?;
                }
                () = sleep_until(report_at) => {
                    if let Some(ask) = report.and_then(|key| self.reports.remove(&key)) {
                        socket.send(Frame::new(&ToCoordinator::Update(ask))?).await?;
                    }
                }
            }
        }
    }

    fn note_grant(&mut self, id: RequestId) {
        self.granted.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let usage = Usage {
            prefill_tokens: 2_000,
            cached_tokens: 0,
            decode_tokens: 100,
            first_token: FIRST_TOKEN,
            total: FIRST_TOKEN + TOKENS,
        };
        self.asked += 1;
        self.reports.insert((now + FIRST_TOKEN, self.asked), RequestUpdate::FirstToken(id));
        let end = RequestUpdate::Ended(id, DispatchEnd::Complete(usage));
        self.reports.insert((now + FIRST_TOKEN + TOKENS, self.asked), end);
    }

    fn question(&mut self) -> Result<PlacementRequest, IdError> {
        self.asked += 1;
        let id = RequestId::new(((self.number as u128) << 64) | u128::from(self.asked));
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
            body_bytes: 8_000,
        };
        Ok(PlacementRequest {
            record,
            upstream: "dala".parse()?,
            cost: 2_100.0,
            time_limit: Duration::from_secs(8),
            prior_attempts: 0,
            avoid: None,
        })
    }
}

fn runner() -> serde_json::Value {
    json!({
        "service": "dala", "address": "127.0.0.1:9", "zone": "medeu", "version": "v1",
        "slots": PLACES, "state": "ready", "coldLeftMs": 0, "seq": 1,
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
            "engine": { "slots": PLACES, "stride": 3 },
        }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 100_000,
                    "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [{
            "name": "desk", "apiKeys": ["key"], "priority": 1, "unit": "tokens",
            "plainTokens": 200, "ratePerS": 0, "burst": 0,
        }],
    })
}

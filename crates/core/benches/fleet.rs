//! Cost of a request at the coordinator of a fleet.
//!
//! Fills all runners, queues requests, then repeats the usual cycle: a request
//! ends, another one is granted, its first token is reported, and a new one
//! arrives.

use std::{
    collections::VecDeque,
    hint::black_box,
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyway_core::{
    fleet::{
        Coordinator, PlacementReply, PlacementRequest, PromptPart, Quarantine, QuotaTolerance,
        RequestContent, RequestDigest, RequestUpdate, RetryBudgetLimits, RunnerChange,
        RunnerDirectory, RunnerEntry, RunnerKey, RunnerVersion, SuspectList, SuspectRun,
    },
    ids::{HostId, RequestId, Tier},
    request::{DispatchEnd, RequestRecord, Target, Usage},
    time::MonoTime,
};
use criterion::{BatchSize, BenchmarkId, Criterion};

const RUNNERS: [usize; 3] = [12, 140, 2_200];
const WAITING: [usize; 3] = [0, 100, 2_000];
const HOSTS: u128 = 68;
/// Number of hosts that start at once.
const STARTING_HOSTS: usize = 380;
const SLOTS: u32 = 4;
/// Number of requests that differ.
const DIGESTS: u64 = 10_000;
const BODY_BYTES: [usize; 3] = [500, 16 << 10, 100 << 10];
const PROMPT_TOKENS: u32 = 3_000;
/// Parts of a prompt: of a short one, of the longest that isn't narrowed down, and as many as
/// fit into a head of 16 KiB.
const PARTS: [u64; 3] = [2, 32, 3_500];
/// Requests that a runner breaks as it crashes.
const BROKEN: u64 = 5;
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_micros(700);

fn host(number: u128) -> HostId {
    HostId { name: format!("h{number}").parse().unwrap_or_else(|_| unreachable!()), incarnation: 1 }
}

struct Fleet {
    coordinator: Coordinator,
    now: MonoTime,
    last_id: u128,
    /// Granted requests, the oldest first.
    in_progress: VecDeque<(HostId, RequestId)>,
    digests: Vec<RequestDigest>,
    /// Number of parts of each prompt, all of its own.
    parts: u64,
}

impl Fleet {
    fn new(runners: usize, waiting: usize) -> Self {
        let limits = RetryBudgetLimits { ratio: 0.2, slack: 100.0, window_s: 10.0 };
        let mut coordinator = Coordinator::new(limits, QuotaTolerance::default());
        let now = MonoTime::from_millis(1_000);
        coordinator.local_host_joined(now, host(0));
        let changes: Vec<_> =
            (0..runners).map(|number| RunnerChange::Usable(entry(number))).collect();
        coordinator.apply_runner_changes(now, &changes, &mut Vec::new());
        let digests = (0..DIGESTS).map(digest).collect();
        let in_progress = VecDeque::new();
        let mut fleet = Self { coordinator, now, last_id: 0, in_progress, digests, parts: 0 };
        for _ in 0..runners * SLOTS as usize + waiting {
            fleet.arrive();
        }
        fleet
    }

    fn arrive(&mut self) {
        self.last_id += 1;
        let entry = host(self.last_id % HOSTS);
        let record = RequestRecord {
            id: RequestId::new(self.last_id),
            entry: entry.clone(),
            workspace: "desk".parse().unwrap_or_else(|_| unreachable!()),
            class: "report".parse().unwrap_or_else(|_| unreachable!()),
            tier: Tier((self.last_id % 3) as u8),
            // Distant targets, so that no waiting request is refused.
            target: Target::Stream {
                first_token: Duration::from_secs(3_600),
                between_tokens: Duration::from_millis(400),
            },
            age: Duration::ZERO,
            prefill_tokens: PROMPT_TOKENS,
            max_decode_tokens: None,
            prefix: Vec::new(),
            prefix_tokens: Vec::new(),
            length_hint: None,
            body_bytes: 0,
        };
        let req = PlacementRequest {
            record,
            upstream: "dala".parse().unwrap_or_else(|_| unreachable!()),
            parts: parts_of(self.last_id as u64, self.parts).collect(),
            digest: self.digests.get(self.last_id as usize % DIGESTS as usize).copied(),
            cost: 1.0,
            time_limit: Duration::from_secs(7_200),
            prior_attempts: 0,
            rejections: 0,
            resubmitted: false,
            avoid: None,
            stream: None,
        };
        self.handle_update(&entry, RequestUpdate::Submit(Box::new(req)));
    }

    /// Handles an update, and reports the first token of each granted request.
    fn handle_update(&mut self, host: &HostId, update: RequestUpdate) {
        let mut out = Vec::new();
        self.coordinator.handle_update(self.now, host, update, &mut out);
        for (host, reply) in out {
            if let PlacementReply::Grant(id, ..) = reply {
                self.coordinator.handle_update(
                    self.now,
                    &host,
                    RequestUpdate::FirstToken(id),
                    &mut Vec::new(),
                );
                self.in_progress.push_back((host, id));
            }
        }
    }

    /// Ends one request and submits another one.
    fn cycle(&mut self) {
        self.now = self.now + REQUEST_INTERVAL;
        if let Some((host, id)) = self.in_progress.pop_front() {
            let usage = Usage {
                prefill_tokens: PROMPT_TOKENS,
                cached_tokens: 0,
                decode_tokens: 100,
                first_token: Duration::from_millis(80),
                total: Duration::from_millis(800),
                until_close: false,
                failed: false,
            };
            self.handle_update(&host, RequestUpdate::Ended(id, DispatchEnd::Complete(usage)));
        }
        self.arrive();
    }
}

/// Parts that no other request has.
fn parts_of(request: u64, count: u64) -> impl Iterator<Item = PromptPart> {
    (0..count).map(move |number| PromptPart(request << 16 | number))
}

fn digest(number: u64) -> RequestDigest {
    RequestDigest::new(&RequestContent {
        workspace: None,
        method: "POST",
        host: "desk.example",
        target: "/",
        body: &number.to_be_bytes(),
    })
}

fn entry(number: usize) -> RunnerEntry {
    RunnerEntry {
        key: RunnerKey { name: name(number), started_ms: Some(1) },
        upstream: "dala".parse().unwrap_or_else(|_| unreachable!()),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "medeu".parse().unwrap_or_else(|_| unreachable!()),
        slots: SLOTS,
        leaving: false,
        version: RunnerVersion::new("v1"),
    }
}

fn name(number: usize) -> comfreyway_core::ids::RunnerName {
    format!("r{number}").parse().unwrap_or_else(|_| unreachable!())
}

fn bench_request(c: &mut Criterion) {
    let mut group = c.benchmark_group("fleet_request");
    group.sample_size(10).measurement_time(Duration::from_secs(1));
    group.warm_up_time(Duration::from_millis(300));
    for runners in RUNNERS {
        for waiting in WAITING {
            let id = BenchmarkId::new(format!("runners_{runners}"), waiting);
            let mut fleet = Fleet::new(runners, waiting);
            group.bench_function(id, |b| {
                b.iter_custom(|count| {
                    let start = Instant::now();
                    for _ in 0..count {
                        fleet.cycle();
                    }
                    black_box(&fleet.coordinator);
                    start.elapsed()
                });
            });
        }
    }
    group.finish();
}

/// Cost of a request by the parts of its prompt, and of a crash that breaks several.
fn bench_parts(c: &mut Criterion) {
    let mut group = c.benchmark_group("fleet_parts");
    group.sample_size(10).measurement_time(Duration::from_secs(1));
    group.warm_up_time(Duration::from_millis(300));
    for parts in PARTS {
        let mut fleet = Fleet::new(RUNNERS[0], WAITING[1]);
        fleet.parts = parts;
        group.bench_function(BenchmarkId::new("request", parts), |b| b.iter(|| fleet.cycle()));
        let (mut quarantine, mut crashes) = (Quarantine::default(), 0);
        group.bench_function(BenchmarkId::new("crash", parts), |b| {
            b.iter(|| {
                crashes += 1;
                crash(&mut quarantine, crashes, parts);
            });
        });
    }
    group.finish();
}

/// A runner crashes, and breaks requests of which each has a crashing part and others of its
/// own.
fn crash(quarantine: &mut Quarantine, number: u64, parts: u64) {
    let runner = RunnerKey { name: name(number as usize), started_ms: Some(1) };
    let at = MonoTime::from_millis(number * 1_000);
    for request in 0..BROKEN {
        let own = parts_of(number * BROKEN + request, parts - 1);
        let crashing = PromptPart(u64::MAX - number % DIGESTS);
        let suspects = SuspectList::new(own.chain([crashing]), None);
        let (runner, ended_at) = (runner.clone(), at + Duration::from_millis(100));
        let run = SuspectRun { runner, suspects, granted_at: at, begun_at: None, ended_at };
        quarantine.broke(&run);
    }
    quarantine.run_ended(&runner);
    quarantine.decide();
    black_box(quarantine.take_changed());
}

/// Measures the start of all hosts at once: each host lists the runners, and one
/// coordinator gets all other hosts as clients, one after the other.
fn bench_start(c: &mut Criterion) {
    let mut group = c.benchmark_group("fleet_start");
    group.sample_size(10).measurement_time(Duration::from_secs(1));
    group.warm_up_time(Duration::from_millis(100));
    for runners in RUNNERS {
        group.bench_function(BenchmarkId::new("list", runners), |b| {
            b.iter(|| coordinator_with_runners(runners));
        });
        group.bench_function(BenchmarkId::new("hosts_380", runners), |b| {
            b.iter_batched(
                || coordinator_with_runners(runners),
                |mut coordinator| {
                    let now = MonoTime::from_millis(1_000);
                    let names: Vec<_> =
                        (0..STARTING_HOSTS).map(|number| host(number as u128).name).collect();
                    for number in 1..STARTING_HOSTS {
                        coordinator.set_registered_hosts(now, &names[..number]);
                        coordinator.host_joined(now, host(number as u128));
                    }
                    coordinator
                },
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

/// Creates a coordinator with runners that were listed twice.
fn coordinator_with_runners(runners: usize) -> Coordinator {
    let limits = RetryBudgetLimits { ratio: 0.2, slack: 100.0, window_s: 10.0 };
    let mut coordinator = Coordinator::new(limits, QuotaTolerance::default());
    let now = MonoTime::from_millis(1_000);
    coordinator.local_host_joined(now, host(0));
    let entries = (0..runners).map(entry).collect();
    let (mut directory, mut changes) = (RunnerDirectory::default(), Vec::new());
    directory.apply_listing(now, entries, &mut changes);
    // The store lists all runners again.
    directory.apply_listing(now, (0..runners).map(entry).collect(), &mut Vec::new());
    coordinator.apply_runner_changes(now, &changes, &mut Vec::new());
    coordinator
}

/// Identity of a request, by the size of its body.
fn bench_digest(c: &mut Criterion) {
    let mut group = c.benchmark_group("request_digest");
    for size in BODY_BYTES {
        let body = vec![b'q'; size];
        let content = RequestContent {
            workspace: None,
            method: "POST",
            host: "desk.example",
            target: "/lookup/7?full=1",
            body: &body,
        };
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| RequestDigest::new(black_box(&content)));
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_request(&mut criterion);
    bench_parts(&mut criterion);
    bench_start(&mut criterion);
    bench_digest(&mut criterion);
    criterion.final_summary();
}

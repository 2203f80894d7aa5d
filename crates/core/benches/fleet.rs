//! Cost of a request at the coordinator of a fleet.
//!
//! Fills all runners, lets requests wait, and then goes through the usual
//! cycle: a request ends, another one is granted, a new one arrives, and the
//! first token of the granted one is told.

use std::{
    collections::VecDeque,
    hint::black_box,
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyway_core::{
    fleet::{
        Coordinator, PlacementReply, PlacementRequest, QuotaTolerance, RequestUpdate,
        RetryBudgetLimits, RunnerChange, RunnerDirectory, RunnerEntry, RunnerKey,
    },
    ids::{HostId, RequestId, Tier},
    request::{DispatchEnd, RequestRecord, Target, Usage},
    time::MonoTime,
};
use criterion::{BatchSize, BenchmarkId, Criterion};

const RUNNERS: [usize; 3] = [12, 140, 2_200];
const WAITING: [usize; 3] = [0, 100, 2_000];
const HOSTS: u128 = 68;
/// Hosts that start at once.
const ALL_HOSTS: usize = 380;
const PLACES: u32 = 4;
const PROMPT_TOKENS: u32 = 3_000;
/// Time between two requests.
const PACE: Duration = Duration::from_micros(700);

fn host(number: u128) -> HostId {
    HostId { name: format!("h{number}").parse().unwrap_or_else(|_| unreachable!()), incarnation: 1 }
}

struct Fleet {
    coordinator: Coordinator,
    now: MonoTime,
    next: u128,
    /// Granted requests, the oldest first.
    running: VecDeque<(HostId, RequestId)>,
}

impl Fleet {
    fn new(runners: usize, waiting: usize) -> Self {
        let rule = RetryBudgetLimits { ratio: 0.2, slack: 100.0, window_s: 10.0 };
        let mut coordinator = Coordinator::new(rule, QuotaTolerance::default());
        let now = MonoTime::from_millis(1_000);
        coordinator.local_host_joined(now, host(0));
        let news: Vec<_> = (0..runners).map(|number| RunnerChange::Usable(entry(number))).collect();
        coordinator.apply_runner_changes(now, &news, &mut Vec::new());
        let mut fleet = Self { coordinator, now, next: 0, running: VecDeque::new() };
        for _ in 0..runners * PLACES as usize + waiting {
            fleet.arrive();
        }
        fleet
    }

    fn arrive(&mut self) {
        self.next += 1;
        let entry = host(self.next % HOSTS);
        let record = RequestRecord {
            id: RequestId::new(self.next),
            entry: entry.clone(),
            workspace: "desk".parse().unwrap_or_else(|_| unreachable!()),
            class: "report".parse().unwrap_or_else(|_| unreachable!()),
            tier: Tier((self.next % 3) as u8),
            // Targets far away keep the queue as long as it was filled.
            target: Target::Stream {
                first_token: Duration::from_secs(3_600),
                between_tokens: Duration::from_millis(400),
            },
            age: Duration::ZERO,
            prefill_tokens: PROMPT_TOKENS,
            max_decode_tokens: None,
            prefix: Vec::new(),
            body_bytes: 0,
        };
        let question = PlacementRequest {
            record,
            upstream: "dala".parse().unwrap_or_else(|_| unreachable!()),
            cost: 1.0,
            time_limit: Duration::from_secs(7_200),
            prior_attempts: 0,
            avoid: None,
        };
        self.ask(&entry, RequestUpdate::Submit(Box::new(question)));
    }

    fn ask(&mut self, host: &HostId, ask: RequestUpdate) {
        let mut out = Vec::new();
        self.coordinator.handle_update(self.now, host, ask, &mut out);
        for (host, tell) in out {
            if let PlacementReply::Grant(id, _) = tell {
                self.coordinator.handle_update(
                    self.now,
                    &host,
                    RequestUpdate::FirstToken(id),
                    &mut Vec::new(),
                );
                self.running.push_back((host, id));
            }
        }
    }

    /// One request ends, another one begins.
    fn cycle(&mut self) {
        self.now = self.now + PACE;
        if let Some((host, id)) = self.running.pop_front() {
            let usage = Usage {
                prefill_tokens: PROMPT_TOKENS,
                cached_tokens: 0,
                decode_tokens: 100,
                first_token: Duration::from_millis(80),
                total: Duration::from_millis(800),
            };
            self.ask(&host, RequestUpdate::Ended(id, DispatchEnd::Complete(usage)));
        }
        self.arrive();
    }
}

fn entry(number: usize) -> RunnerEntry {
    RunnerEntry {
        key: RunnerKey { name: name(number), started_ms: Some(1) },
        upstream: "dala".parse().unwrap_or_else(|_| unreachable!()),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "medeu".parse().unwrap_or_else(|_| unreachable!()),
        slots: PLACES,
        leaving: false,
    }
}

fn name(number: usize) -> comfreyway_core::ids::RunnerName {
    format!("r{number}").parse().unwrap_or_else(|_| unreachable!())
}

fn request(c: &mut Criterion) {
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

/// All hosts start at once: each one lists the runners, hears of one host after
/// the other, and one of them is asked by all.
fn start(c: &mut Criterion) {
    let mut group = c.benchmark_group("fleet_start");
    group.sample_size(10).measurement_time(Duration::from_secs(1));
    group.warm_up_time(Duration::from_millis(100));
    for runners in RUNNERS {
        group.bench_function(BenchmarkId::new("list", runners), |b| {
            b.iter(|| list(runners));
        });
        group.bench_function(BenchmarkId::new("hosts_380", runners), |b| {
            b.iter_batched(
                || list(runners),
                |mut coordinator| {
                    let now = MonoTime::from_millis(1_000);
                    for number in 1..ALL_HOSTS {
                        coordinator.set_known_hosts(now, number);
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

fn list(runners: usize) -> Coordinator {
    let rule = RetryBudgetLimits { ratio: 0.2, slack: 100.0, window_s: 10.0 };
    let mut coordinator = Coordinator::new(rule, QuotaTolerance::default());
    let now = MonoTime::from_millis(1_000);
    coordinator.local_host_joined(now, host(0));
    let entries = (0..runners).map(entry).collect();
    let (mut directory, mut news) = (RunnerDirectory::default(), Vec::new());
    directory.apply_listing(now, entries, &mut news);
    // The store lists all runners anew.
    directory.apply_listing(now, (0..runners).map(entry).collect(), &mut Vec::new());
    coordinator.apply_runner_changes(now, &news, &mut Vec::new());
    coordinator
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    request(&mut criterion);
    start(&mut criterion);
    criterion.final_summary();
}

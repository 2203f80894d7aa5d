//! Time of a decision, and memory per waiting request.
//!
//! Each case fills a pool of engines to its limits, queues requests, then repeats
//! the usual cycle: a request ends, another one is granted, and a new one
//! arrives. One of these decisions is timed.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    hint::black_box,
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use comfreyway_core::{
    ids::{Epoch, HostId, PoolId, RequestId, Tier},
    pool::{Pool, PoolAction, PoolInput, PoolSettings, RunnerSpec},
    request::{BlockHash, DispatchEnd, RequestRecord, Target, Usage},
    time::MonoTime,
};
use criterion::{BenchmarkId, Criterion};

const RUNNERS: [usize; 3] = [12, 120, 2_200];
const WAITING: [usize; 3] = [100, 10_000, 100_000];
const ENTRIES: usize = 9;
const WORKSPACES: u128 = 860;
const RUNNER_LIMIT: u32 = 8;
const PREFILL_TOKENS: u32 = 2_000;
const BLOCK_TOKENS: u32 = 256;

/// The decision that is timed.
#[derive(Clone, Copy, Debug)]
enum Decision {
    /// A request arrives and waits.
    Arrival,
    /// A request ends and another one is granted.
    Grant,
}

/// Counts the currently allocated bytes.
struct CountingAllocator;

static BYTES: AtomicUsize = AtomicUsize::new(0);

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[allow(unsafe_code)]
// SAFETY: every call goes to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(ptr, layout) }
    }
}

/// A pool at its limits, with its requests in progress.
struct FullPool {
    pool: Pool,
    now: MonoTime,
    actions: Vec<PoolAction>,
    granted: std::collections::VecDeque<RequestId>,
    entries: Vec<HostId>,
    next_id: u128,
}

impl FullPool {
    fn new(runners: usize, waiting: usize) -> Self {
        let upstream = "llm".parse().expect("a valid name");
        let region = "almaty".parse().expect("a valid name");
        let settings = PoolSettings::new(PoolId { upstream, region }, Epoch::default())
            .with_max_waiting(2 * waiting + 10 * runners, u64::MAX);
        let mut full_pool = Self {
            pool: Pool::new(settings),
            now: MonoTime::from_millis(1),
            actions: Vec::new(),
            granted: std::collections::VecDeque::new(),
            entries: (0..ENTRIES).map(host).collect(),
            next_id: 1,
        };
        for number in 0..runners {
            full_pool.step(PoolInput::RunnerUpdated(runner(number)));
        }
        while full_pool.pool.waiting() < waiting {
            full_pool.submit();
        }
        full_pool
    }

    fn step(&mut self, input: PoolInput) {
        self.handle(input);
        self.report_first_tokens();
    }

    fn handle(&mut self, input: PoolInput) {
        self.actions.clear();
        self.pool.handle(self.now, black_box(input), &mut self.actions);
    }

    /// Reports the first tokens of granted requests at once, so that only the limit
    /// on sequences keeps requests waiting.
    fn report_first_tokens(&mut self) {
        let granted = self.actions.drain(..).filter_map(|action| match action {
            PoolAction::Grant { grant, .. } => Some(grant.id),
            PoolAction::Refuse { .. } | PoolAction::SetTimer(_) => None,
        });
        for id in granted.collect::<Vec<_>>() {
            self.granted.push_back(id);
            self.step(PoolInput::FirstToken(id));
        }
    }

    fn new_record(&mut self) -> RequestRecord {
        let id = self.next_id;
        self.next_id += 1;
        let entry = self.entries[id as usize % ENTRIES].clone();
        record(id, entry)
    }

    fn submit(&mut self) {
        let new = self.new_record();
        self.step(PoolInput::Submit(new));
    }

    /// Ends a request, which grants another one, and submits a new one. Returns the
    /// time of the chosen decision alone.
    fn cycle(&mut self, decision: Decision) -> Duration {
        self.now = self.now + Duration::from_micros(10);
        let ended = self.granted.pop_front();
        let start = Instant::now();
        if let Some(id) = ended {
            self.handle(PoolInput::Ended { id, end: complete() });
        }
        let grant = start.elapsed();
        self.report_first_tokens();
        let new = self.new_record();
        let start = Instant::now();
        self.handle(PoolInput::Submit(new));
        let arrival = start.elapsed();
        self.report_first_tokens();
        match decision {
            Decision::Arrival => arrival,
            Decision::Grant => grant,
        }
    }
}

fn host(number: usize) -> HostId {
    let name = format!("entry-{number}").parse().expect("a valid name");
    HostId { name, incarnation: 1 }
}

fn runner(number: usize) -> RunnerSpec {
    RunnerSpec {
        name: format!("runner-{number}").parse().expect("a valid name"),
        data_centre: "alatau".parse().expect("a valid name"),
        initial_limit: RUNNER_LIMIT,
        engine: true,
        leaving: false,
    }
}

fn record(id: u128, entry: HostId) -> RequestRecord {
    let document = (id / 4) as u64;
    let blocks = PREFILL_TOKENS / BLOCK_TOKENS;
    RequestRecord {
        id: RequestId::new(id.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)),
        entry,
        workspace: format!("ws-{}", id % WORKSPACES).parse().expect("a valid name"),
        class: "summary".parse().expect("a valid name"),
        tier: Tier((id % 4) as u8),
        target: Target::Stream {
            first_token: Duration::from_secs(1_000_000),
            between_tokens: Duration::from_millis(76),
        },
        age: Duration::ZERO,
        prefill_tokens: PREFILL_TOKENS,
        max_decode_tokens: Some(200),
        prefix: (0..blocks).map(|n| BlockHash(document << 8 | u64::from(n))).collect(),
        prefix_tokens: Vec::new(),
        length_hint: None,
        body_bytes: 4 * PREFILL_TOKENS,
    }
}

fn complete() -> DispatchEnd {
    DispatchEnd::Complete(Usage {
        prefill_tokens: PREFILL_TOKENS,
        cached_tokens: 0,
        decode_tokens: 200,
        first_token: Duration::from_millis(200),
        total: Duration::from_millis(6_200),
        until_close: false,
        failed: false,
    })
}

fn decisions(criterion: &mut Criterion, decision: Decision) {
    let mut group = criterion.benchmark_group(format!("{decision:?}"));
    group.warm_up_time(Duration::from_millis(300));
    group.measurement_time(Duration::from_secs(1));
    group.sample_size(20);
    for runners in RUNNERS {
        for waiting in WAITING {
            let mut full_pool = FullPool::new(runners, waiting);
            let id = BenchmarkId::new(format!("{runners} runners"), waiting);
            group.bench_function(id, |bencher| {
                bencher.iter_custom(|count| (0..count).map(|_| full_pool.cycle(decision)).sum());
            });
        }
    }
    group.finish();
}

fn print_bytes_per_request() {
    for waiting in WAITING {
        let base = FullPool::new(12, 0);
        let before = BYTES.load(Ordering::Relaxed);
        let full_pool = FullPool::new(12, waiting);
        let used = BYTES.load(Ordering::Relaxed) - before;
        println!("{waiting} waiting: {} bytes per request", used / waiting);
        drop((base, full_pool));
    }
}

fn main() {
    print_bytes_per_request();
    let mut criterion = Criterion::default().configure_from_args();
    decisions(&mut criterion, Decision::Arrival);
    decisions(&mut criterion, Decision::Grant);
    criterion.final_summary();
}

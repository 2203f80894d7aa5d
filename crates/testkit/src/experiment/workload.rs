//! Seeded arrivals of a workload's request classes.

use std::time::Duration;

use comfreyway_core::{
    ids::{HostId, RequestId, Tier},
    request::{BlockHash, RequestRecord, Target},
    time::MonoTime,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::engine::{CACHE_BLOCK_TOKENS, EngineSpec};

/// Number of entries.
pub(crate) const ENTRY_HOSTS: usize = 9;

/// Share of each workspace in the arrivals, the largest first.
const WORKSPACE_SHARES: [f64; 5] = [0.45, 0.3, 0.15, 0.07, 0.03];

/// Number of latest documents of a workspace and class that may be reread.
const RECENT_DOCUMENTS: usize = 12;

/// Number of prefix blocks that all requests of a class share.
const COMMON_BLOCKS: u32 = 2;

/// Request class with the sizes and frequency of its requests.
#[derive(Clone, Copy, Debug)]
pub struct ClassShape {
    /// Name of the class.
    pub name: &'static str,
    /// Tier of the class.
    pub tier: u8,
    /// Latency target of the class.
    pub target: Target,
    /// Least and greatest prompt length in tokens.
    pub prefill: (u32, u32),
    /// Least and greatest response length in tokens.
    pub decode: (u32, u32),
    /// Share of the pool's capacity that the class uses at a load of 1.
    pub work_share: f64,
    /// Probability that a request rereads a recent document.
    pub reread: f64,
}

/// Request classes and data centres of one user.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Name of the workload.
    pub name: &'static str,
    /// Data centres of the runners.
    pub data_centres: [&'static str; 3],
    /// Request classes.
    pub classes: &'static [ClassShape],
    /// Weight of each tier in the weighted goodput.
    pub tier_weights: [f64; 3],
}

/// One request of a trace.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    /// Arrival time at the entry.
    pub(crate) at: MonoTime,
    /// Request as the pool owner receives it.
    pub(crate) record: RequestRecord,
    /// Length of the response, in tokens.
    pub(crate) decode_tokens: u32,
    /// Prompt tokens that are in no earlier request of the trace.
    pub(crate) new_tokens: u32,
}

/// Settings of a generated trace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TraceSettings {
    /// Offered load, as a multiple of capacity. Above 1, only the rates of the
    /// lower tiers grow.
    pub(crate) load: f64,
    /// Time span of the trace.
    pub(crate) duration: Duration,
    /// Seed of the random numbers.
    pub(crate) seed: u64,
    /// Factor on the lowest tier's rate, with its start and end.
    pub(crate) burst: Option<(f64, MonoTime, MonoTime)>,
}

/// Recent documents of one workspace and class, as identifier and tokens.
#[derive(Clone, Debug, Default)]
struct Documents {
    recent: Vec<(u64, u32)>,
}

/// Generates the arrivals of a workload, in order of time.
#[must_use]
pub(crate) fn generate_trace(
    workload: &Workload,
    engines: &[EngineSpec],
    settings: &TraceSettings,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, shape) in workload.classes.iter().enumerate() {
        let seed = settings.seed.wrapping_mul(1_000).wrapping_add(index as u64);
        let mut rng = StdRng::seed_from_u64(seed);
        let rate = request_rate(workload, shape, engines, settings.load);
        generate_class(&mut rng, index, shape, rate, settings, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| (arrival.at, arrival.record.id));
    arrivals
}

/// Returns the mean new prompt tokens and mean response tokens of a class.
fn mean_tokens(shape: &ClassShape) -> (f64, f64) {
    let mean = |(low, high): (u32, u32)| f64::midpoint(f64::from(low), f64::from(high));
    let common = f64::from(COMMON_BLOCKS * CACHE_BLOCK_TOKENS).min(mean(shape.prefill) / 2.0);
    let prefill = (mean(shape.prefill) - common) * (1.0 - shape.reread);
    (prefill, mean(shape.decode))
}

/// Returns the requests per second of a class that fill its share of the pool's
/// time, without other classes.
fn share_rate(shape: &ClassShape, engines: &[EngineSpec]) -> f64 {
    let (prefill, decode) = mean_tokens(shape);
    let rate: f64 = engines.iter().map(|e| 1.0 / e.min_added_seconds(prefill, decode)).sum();
    rate * shape.work_share
}

/// Returns the multiple of the share rates that the pool can serve if every
/// prefix is prefilled once and steps are as full as the class mix allows.
fn capacity(workload: &Workload, engines: &[EngineSpec]) -> f64 {
    let per_second = |tokens: fn((f64, f64)) -> f64| -> f64 {
        let classes = workload.classes.iter();
        classes.map(|c| share_rate(c, engines) * tokens(mean_tokens(c))).sum()
    };
    let (prefill, decode) = (per_second(|t| t.0), per_second(|t| t.1));
    engines.iter().map(|engine| 1.0 / engine.min_seconds(prefill, decode)).sum()
}

/// Returns the requests per second of a class at a load.
fn request_rate(workload: &Workload, shape: &ClassShape, engines: &[EngineSpec], load: f64) -> f64 {
    let share_of = |top: bool| -> f64 {
        let classes = workload.classes.iter().filter(|c| (c.tier == 0) == top);
        classes.map(|c| c.work_share).sum()
    };
    let (top, lower) = (share_of(true), share_of(false));
    let factor = match (load > 1.0, shape.tier == 0) {
        (true, true) => 1.0,
        (true, false) => (load - top) / lower,
        (false, _) => load,
    };
    share_rate(shape, engines) * capacity(workload, engines) * factor
}

fn generate_class(
    rng: &mut StdRng,
    index: usize,
    shape: &ClassShape,
    rate: f64,
    settings: &TraceSettings,
    arrivals: &mut Vec<Arrival>,
) {
    let mut documents = vec![Documents::default(); WORKSPACE_SHARES.len()];
    let mut at = 0.0;
    let mut number = 0_u64;
    loop {
        let factor = burst_factor(settings, shape, at);
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at += -uniform.ln() / (rate * factor);
        if at >= settings.duration.as_secs_f64() {
            return;
        }
        let workspace = choose_workspace(rng);
        number += 1;
        let id = ((index as u128 + 1) << 64) | u128::from(number);
        let docs = &mut documents[workspace];
        let mut arrival = generate_request(rng, index, shape, id, docs);
        arrival.at = MonoTime::from_micros((at * 1e6) as u64);
        arrival.record.workspace = format!("ws-{workspace}").parse().expect("a valid name");
        arrivals.push(arrival);
    }
}

fn burst_factor(settings: &TraceSettings, shape: &ClassShape, at: f64) -> f64 {
    let Some((factor, start, end)) = settings.burst.filter(|_| shape.tier == 2) else {
        return 1.0;
    };
    let now = MonoTime::from_micros((at * 1e6) as u64);
    if start <= now && now < end { factor } else { 1.0 }
}

fn choose_workspace(rng: &mut StdRng) -> usize {
    let mut left: f64 = rng.random_range(0.0..1.0);
    for (index, share) in WORKSPACE_SHARES.iter().enumerate() {
        if left < *share {
            return index;
        }
        left -= share;
    }
    WORKSPACE_SHARES.len() - 1
}

fn generate_request(
    rng: &mut StdRng,
    index: usize,
    shape: &ClassShape,
    id: u128,
    documents: &mut Documents,
) -> Arrival {
    let reread = !documents.recent.is_empty() && rng.random_range(0.0..1.0) < shape.reread;
    let (document, tokens) = if reread {
        documents.recent[rng.random_range(0..documents.recent.len())]
    } else {
        let tokens = rng.random_range(shape.prefill.0..=shape.prefill.1);
        documents.recent.push((id as u64, tokens));
        if documents.recent.len() > RECENT_DOCUMENTS {
            documents.recent.remove(0);
        }
        (id as u64, tokens)
    };
    let question_tokens = if reread { CACHE_BLOCK_TOKENS / 2 } else { 0 };
    let decode_tokens = rng.random_range(shape.decode.0..=shape.decode.1);
    let common = COMMON_BLOCKS.min(tokens / CACHE_BLOCK_TOKENS);
    let new_tokens = if reread { question_tokens } else { tokens - common * CACHE_BLOCK_TOKENS };
    let name = format!("entry-{}", id as usize % ENTRY_HOSTS).parse().expect("a valid name");
    let record = RequestRecord {
        id: RequestId::new(id),
        entry: HostId { name, incarnation: 1 },
        workspace: "ws".parse().expect("a valid name"),
        class: shape.name.parse().expect("a valid name"),
        tier: Tier(shape.tier),
        target: shape.target,
        age: Duration::ZERO,
        prefill_tokens: tokens + question_tokens,
        max_decode_tokens: None,
        prefix: block_hashes(index, document, tokens),
        prefix_tokens: Vec::new(),
        length_hint: None,
        body_bytes: tokens * 4,
    };
    Arrival { at: MonoTime::ZERO, record, decode_tokens, new_tokens }
}

/// Returns the block hashes of a document; the first blocks are those that the
/// class has in common.
fn block_hashes(index: usize, document: u64, tokens: u32) -> Vec<BlockHash> {
    let hash = |n: u32| {
        let source = if n < COMMON_BLOCKS { 0 } else { document };
        let mixed = source.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (index as u64) << 40;
        BlockHash((mixed ^ u64::from(n)).wrapping_mul(0xff51_afd7_ed55_8ccd))
    };
    (0..tokens / CACHE_BLOCK_TOKENS).map(hash).collect()
}

//! Seeded arrivals of a user's classes of work.

use std::time::Duration;

use comfreyway_core::{
    ids::{HostId, RequestId, Tier},
    request::{BlockHash, RequestRecord, Target},
    time::MonoTime,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::engine::{BLOCK_TOKENS, EngineSpec};

/// Entry hosts of an experiment.
pub(crate) const ENTRIES: usize = 9;

/// Shares of the workspaces in the arrivals, the largest first.
const WORKSPACE_SHARES: [f64; 5] = [0.45, 0.3, 0.15, 0.07, 0.03];

/// Documents of a workspace and class that may be read again.
const RECENT_DOCUMENTS: usize = 12;

/// Blocks that all requests of a class have in common.
const COMMON_BLOCKS: u32 = 2;

/// A class of work with the shape of its requests.
#[derive(Clone, Copy, Debug)]
pub struct ClassShape {
    /// Name of the class.
    pub name: &'static str,
    /// Tier of the class.
    pub tier: u8,
    /// Target of the class.
    pub target: Target,
    /// Shortest and longest prompt in tokens.
    pub prefill: (u32, u32),
    /// Shortest and longest answer in tokens.
    pub decode: (u32, u32),
    /// Share of the pool's capacity at a load of 1.
    pub work_share: f64,
    /// Probability that a request reads a recent document again.
    pub reread: f64,
}

/// A user's classes and data centres.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Name of the workload.
    pub name: &'static str,
    /// Data centres of the runners.
    pub data_centres: [&'static str; 3],
    /// Classes of work.
    pub classes: &'static [ClassShape],
    /// Weight of each tier in the weighted goodput.
    pub tier_weights: [f64; 3],
}

/// One request of the trace.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    /// When it arrives at its entry.
    pub(crate) at: MonoTime,
    /// Its record.
    pub(crate) record: RequestRecord,
    /// Length of its answer.
    pub(crate) decode_tokens: u32,
    /// Prompt tokens that no earlier request of the trace had.
    pub(crate) new_tokens: u32,
}

/// How the arrivals of an experiment are made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TraceSettings {
    /// Work offered, as a multiple of capacity. Above 1, only the lower tiers
    /// grow.
    pub(crate) load: f64,
    /// Length of the trace.
    pub(crate) duration: Duration,
    /// Seed of the generator.
    pub(crate) seed: u64,
    /// Factor on the lowest tier's rate between two times.
    pub(crate) burst: Option<(f64, MonoTime, MonoTime)>,
}

/// Documents of one workspace and class.
#[derive(Clone, Debug, Default)]
struct Documents {
    recent: Vec<(u64, u32)>,
}

/// Makes the arrivals of a workload, in order of time.
#[must_use]
pub(crate) fn trace(
    workload: &Workload,
    engines: &[EngineSpec],
    settings: &TraceSettings,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, shape) in workload.classes.iter().enumerate() {
        let seed = settings.seed.wrapping_mul(1_000).wrapping_add(index as u64);
        let mut rng = StdRng::seed_from_u64(seed);
        let rate = rate_of(workload, shape, engines, settings.load);
        class_arrivals(&mut rng, index, shape, rate, settings, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| (arrival.at, arrival.record.id));
    arrivals
}

/// Mean prompt tokens that are new, and mean answer tokens, of a class.
fn mean_tokens(shape: &ClassShape) -> (f64, f64) {
    let middle = |(low, high): (u32, u32)| f64::midpoint(f64::from(low), f64::from(high));
    let common = f64::from(COMMON_BLOCKS * BLOCK_TOKENS).min(middle(shape.prefill) / 2.0);
    let prefill = (middle(shape.prefill) - common) * (1.0 - shape.reread);
    (prefill, middle(shape.decode))
}

/// Requests per second of a class if it had its share of the pool's time to
/// itself.
fn share_rate(shape: &ClassShape, engines: &[EngineSpec]) -> f64 {
    let (prefill, decode) = mean_tokens(shape);
    let rate: f64 = engines.iter().map(|e| 1.0 / e.added_work(prefill, decode)).sum();
    rate * shape.work_share
}

/// Multiple of the share rates that the pool can serve when every prefix is
/// prefilled once and every step is as full as the mix of classes allows.
fn capacity(workload: &Workload, engines: &[EngineSpec]) -> f64 {
    let per_second = |tokens: fn((f64, f64)) -> f64| -> f64 {
        let classes = workload.classes.iter();
        classes.map(|c| share_rate(c, engines) * tokens(mean_tokens(c))).sum()
    };
    let (prefill, decode) = (per_second(|t| t.0), per_second(|t| t.1));
    engines.iter().map(|engine| 1.0 / engine.work(prefill, decode)).sum()
}

/// Requests per second of a class.
fn rate_of(workload: &Workload, shape: &ClassShape, engines: &[EngineSpec], load: f64) -> f64 {
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

fn class_arrivals(
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
        let workspace = workspace(rng);
        number += 1;
        let id = ((index as u128 + 1) << 64) | u128::from(number);
        let docs = &mut documents[workspace];
        let mut arrival = request(rng, index, shape, id, docs);
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

fn workspace(rng: &mut StdRng) -> usize {
    let mut left: f64 = rng.random_range(0.0..1.0);
    for (index, share) in WORKSPACE_SHARES.iter().enumerate() {
        if left < *share {
            return index;
        }
        left -= share;
    }
    WORKSPACE_SHARES.len() - 1
}

fn request(
    rng: &mut StdRng,
    index: usize,
    shape: &ClassShape,
    id: u128,
    documents: &mut Documents,
) -> Arrival {
    let again = !documents.recent.is_empty() && rng.random_range(0.0..1.0) < shape.reread;
    let (document, tokens) = if again {
        documents.recent[rng.random_range(0..documents.recent.len())]
    } else {
        let tokens = rng.random_range(shape.prefill.0..=shape.prefill.1);
        documents.recent.push((id as u64, tokens));
        if documents.recent.len() > RECENT_DOCUMENTS {
            documents.recent.remove(0);
        }
        (id as u64, tokens)
    };
    let question = if again { BLOCK_TOKENS / 2 } else { 0 };
    let decode_tokens = rng.random_range(shape.decode.0..=shape.decode.1);
    let common = COMMON_BLOCKS.min(tokens / BLOCK_TOKENS);
    let new_tokens = if again { question } else { tokens - common * BLOCK_TOKENS };
    let name = format!("entry-{}", id as usize % ENTRIES).parse().expect("a valid name");
    let record = RequestRecord {
        id: RequestId::new(id),
        entry: HostId { name, incarnation: 1 },
        workspace: "ws".parse().expect("a valid name"),
        class: shape.name.parse().expect("a valid name"),
        tier: Tier(shape.tier),
        target: shape.target,
        age: Duration::ZERO,
        prefill_tokens: tokens + question,
        max_decode_tokens: None,
        prefix: blocks(index, document, tokens),
        body_bytes: tokens * 4,
    };
    Arrival { at: MonoTime::ZERO, record, decode_tokens, new_tokens }
}

/// Chained block hashes of a document: common blocks of the class first.
fn blocks(index: usize, document: u64, tokens: u32) -> Vec<BlockHash> {
    let hash = |n: u32| {
        let owner = if n < COMMON_BLOCKS { 0 } else { document };
        let mixed = owner.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (index as u64) << 40;
        BlockHash((mixed ^ u64::from(n)).wrapping_mul(0xff51_afd7_ed55_8ccd))
    };
    (0..tokens / BLOCK_TOKENS).map(hash).collect()
}

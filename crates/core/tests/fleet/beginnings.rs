//! Prompts that share long beginnings, at runners that keep them while they have memory.

use std::{collections::BTreeMap, time::Duration};

use comfreyway_core::{
    fleet::{Decision, RunnerVersion, UpstreamScheduler},
    ids::RunnerName,
    request::{BlockHash, DispatchEnd, RequestRecord, Usage},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

use crate::support::{at, id, name, record};

const STEP_MS: u64 = 5;
const LENGTH_MS: u64 = 20_000;
/// Later requests may still wait when the play ends.
const LAST_COUNTED_MS: u64 = LENGTH_MS - 3_000;
const RUNNERS: usize = 8;
const SLOTS: usize = 4;
/// Microseconds for a prompt token.
const PREFILL_US: u64 = 20;
/// Tokens of an own part of a prompt.
const OWN_TOKENS: u32 = 400;
/// Time of a response after its first token.
const DECODE_MS: u64 = 400;

/// What callers send.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Number of shared beginnings, and the tokens of each.
    beginnings: u64,
    tokens: u32,
    per_s: f64,
    /// Tokens that a runner holds in memory.
    memory: u32,
}

/// A runner that reads one prompt after the other and drops the least recently used parts.
#[derive(Default)]
struct Runner {
    kept: Vec<(u64, u32)>,
    reads_until: u64,
    runs: usize,
}

impl Runner {
    /// Returns the time of the first token.
    fn run(&mut self, ms: u64, beginning: u64, load: Load) -> u64 {
        let held = self.kept.iter().position(|(kept, _)| *kept == beginning);
        let tokens = OWN_TOKENS + if held.is_some() { 0 } else { load.tokens };
        if let Some(held) = held {
            self.kept.remove(held);
        }
        self.kept.push((beginning, load.tokens));
        // Own parts and responses are kept too, each under a number of its own.
        self.kept.push((u64::MAX - ms, OWN_TOKENS + 100));
        while self.kept.iter().map(|(_, tokens)| tokens).sum::<u32>() > load.memory {
            self.kept.remove(0);
        }
        self.runs += 1;
        let start = self.reads_until.max(ms);
        self.reads_until = start + u64::from(tokens) * PREFILL_US / 1_000;
        self.reads_until + 20
    }
}

/// Times to the first token of all requests, sorted, and the number of requests.
struct Outcome {
    first_ms: Vec<u64>,
    sent: usize,
}

impl Outcome {
    fn quantile(&self, fraction: f64) -> u64 {
        self.first_ms[((self.first_ms.len() - 1) as f64 * fraction) as usize]
    }

    fn in_time(&self) -> f64 {
        self.first_ms.iter().filter(|ms| **ms <= 800).count() as f64 / self.sent as f64
    }
}

fn request(number: u128, beginning: u64, load: Load, is_told: bool) -> RequestRecord {
    let mut record = record(number, 1, OWN_TOKENS + load.tokens);
    if is_told {
        record.prefix = vec![BlockHash(beginning)];
        record.prefix_tokens = vec![load.tokens];
    }
    record
}

/// Plays a load. `is_told` is false if the scheduler doesn't know the beginnings.
fn play(seed: u64, load: Load, is_told: bool) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut scheduler = UpstreamScheduler::new(true).with_prompt_memory(Some(load.memory));
    let mut runners: BTreeMap<RunnerName, Runner> = BTreeMap::new();
    for number in 0..RUNNERS {
        let runner = name(&format!("r{number}"));
        scheduler.set_runner(runner.clone(), SLOTS as u32, false);
        runners.insert(runner, Runner::default());
    }
    let (mut sent, mut beginning_of) = (BTreeMap::new(), BTreeMap::new());
    let (mut firsts, mut ends) = (BTreeMap::<u64, Vec<u128>>::new(), BTreeMap::new());
    let mut outcome = Outcome { first_ms: Vec::new(), sent: 0 };
    let mut next = 0;
    for ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        let mut out = Vec::new();
        let later = firsts.split_off(&(ms + 1));
        for number in std::mem::replace(&mut firsts, later).into_values().flatten() {
            scheduler.first_token(at(ms), id(number));
            if sent[&number] <= LAST_COUNTED_MS {
                outcome.first_ms.push(ms - sent[&number]);
            }
        }
        let later = ends.split_off(&(ms + 1));
        for (number, runner, usage) in std::mem::replace(&mut ends, later).into_values().flatten() {
            scheduler.ended(at(ms), id(number), DispatchEnd::Complete(usage));
            runners.get_mut::<RunnerName>(&runner).unwrap().runs -= 1;
        }
        if rng.random_bool(load.per_s * STEP_MS as f64 / 1e3) {
            next += 1;
            let beginning = rng.random_range(0..load.beginnings);
            sent.insert(next, ms);
            beginning_of.insert(next, beginning);
            outcome.sent += usize::from(ms <= LAST_COUNTED_MS);
            let record = request(next, beginning, load, is_told);
            scheduler.submit(at(ms), record, Duration::from_secs(8), None, &mut out);
        }
        scheduler.tick(at(ms), &mut out);
        for decision in out {
            let Decision::Grant(_, granted, runner) = decision else { continue };
            let number = granted.value();
            let state = runners.get_mut(&runner).unwrap();
            let first = state.run(ms, beginning_of[&number], load);
            assert!(state.runs <= SLOTS);
            firsts.entry(first).or_default().push(number);
            let usage = Usage {
                decode_tokens: 60,
                first_token: Duration::from_millis(first - ms),
                total: Duration::from_millis(first + DECODE_MS - ms),
                ..Usage::default()
            };
            ends.entry(first + DECODE_MS).or_insert_with(Vec::new).push((number, runner, usage));
        }
    }
    outcome.first_ms.sort_unstable();
    outcome
}

/// More beginnings than one runner holds, fewer than all do.
const DOCUMENTS: Load = Load { beginnings: 40, tokens: 12_000, per_s: 22.0, memory: 120_000 };

#[test]
fn callers_wait_less_at_runners_that_hold_their_beginnings() {
    for seed in 0..4 {
        let (off, on) = (play(seed, DOCUMENTS, false), play(seed, DOCUMENTS, true));
        let (p50, p99) = (on.quantile(0.5), on.quantile(0.99));
        assert!(2 * p50 <= off.quantile(0.5), "seed {seed}: {p50} {}", off.quantile(0.5));
        assert!(p99 <= off.quantile(0.99), "seed {seed}: {p99} {}", off.quantile(0.99));
        assert!(on.in_time() >= off.in_time(), "seed {seed}: {} {}", on.in_time(), off.in_time());
        println!(
            "seed {seed}: p50 {p50} of {}, p99 {p99} of {}",
            off.quantile(0.5),
            off.quantile(0.99)
        );
    }
}

/// All ask for the same beginning: its runner is not worth a long wait.
#[test]
fn one_beginning_for_all_is_read_by_several_runners() {
    let load = Load { beginnings: 1, ..DOCUMENTS };
    for seed in 0..4 {
        let (off, on) = (play(seed, load, false), play(seed, load, true));
        assert!(on.in_time() >= off.in_time() - 0.01, "seed {seed}");
        assert!(on.quantile(0.99) <= 800, "seed {seed}: {}", on.quantile(0.99));
    }
}

/// Beginnings that no runner can keep change nothing for the worse.
#[rstest]
#[case::too_many(Load { beginnings: 5_000, ..DOCUMENTS })]
#[case::no_memory(Load { memory: 14_000, ..DOCUMENTS })]
fn callers_lose_nothing_where_beginnings_do_not_stay(#[case] load: Load) {
    for seed in 0..4 {
        let (off, on) = (play(seed, load, false), play(seed, load, true));
        assert!(
            on.in_time() >= off.in_time() - 0.02,
            "seed {seed}: {} {}",
            on.in_time(),
            off.in_time()
        );
    }
}

/// Lets a request take the only slot of one of two runners, for some 0.95 s, and submits
/// another one with the same beginning at this time.
fn submit_while_holder_is_taken(ms: u64) -> (UpstreamScheduler, Vec<Decision>) {
    let mut scheduler = UpstreamScheduler::new(true).with_prompt_memory(Some(DOCUMENTS.memory));
    for runner in ["a", "b"] {
        scheduler.set_runner(name(runner), 1, false);
    }
    let mut out = Vec::new();
    let time = Duration::from_secs(8);
    scheduler.submit(at(0), request(1, 7, DOCUMENTS, true), time, None, &mut out);
    scheduler.first_token(at(262), id(1));
    out.clear();
    scheduler.submit(at(ms), request(2, 7, DOCUMENTS, true), time, None, &mut out);
    (scheduler, out)
}

#[rstest]
#[case::long_wait(300, Some("b"))]
#[case::short_wait(900, None)]
fn a_request_waits_for_a_holder_only_if_that_saves_time(
    #[case] ms: u64,
    #[case] expected: Option<&str>,
) {
    let (mut scheduler, mut out) = submit_while_holder_is_taken(ms);
    let granted = |out: &[Decision]| match out {
        [Decision::Grant(_, _, runner)] => Some(runner.to_string()),
        _ => None,
    };
    assert_eq!(granted(&out).as_deref(), expected);
    if expected.is_none() {
        scheduler.ended(at(950), id(1), DispatchEnd::Cancelled);
        scheduler.tick(at(950), &mut out);
        assert_eq!(granted(&out).as_deref(), Some("a"));
    }
}

/// A holder that stays taken for longer than expected makes no request late.
#[test]
fn a_request_that_waits_for_a_holder_goes_elsewhere_in_time() {
    let (mut scheduler, mut out) = submit_while_holder_is_taken(900);
    let granted_at = (900..2_000).step_by(20).find(|ms| {
        scheduler.tick(at(*ms), &mut out);
        !out.is_empty()
    });
    assert!(matches!(&out[..], [Decision::Grant(_, _, runner)] if runner.as_str() == "b"));
    // 12,400 tokens at the assumed rate, and a step, before the target of 800 ms ends.
    assert!(granted_at.is_some_and(|ms| ms + 22 + 273 <= 900 + 800), "{granted_at:?}");
}

/// Lets two idle runners read a beginning at the first, and returns where the next goes.
fn next_runner(
    after: impl FnOnce(&mut UpstreamScheduler, &RunnerName),
) -> (RunnerName, RunnerName) {
    let load = DOCUMENTS;
    let mut scheduler = UpstreamScheduler::new(true).with_prompt_memory(Some(load.memory));
    for runner in ["a", "b"] {
        scheduler.set_runner(name(runner), 4, false);
        scheduler.set_version(&name(runner), RunnerVersion::new("v1"));
    }
    let mut granted = Vec::new();
    let mut submit = |scheduler: &mut UpstreamScheduler, ms: u64, number: u128| {
        let mut out = Vec::new();
        let record = request(number, 7, load, true);
        scheduler.submit(at(ms), record, Duration::from_secs(8), None, &mut out);
        let Some(Decision::Grant(_, _, runner)) = out.pop() else { panic!("no grant") };
        // As long as without a kept beginning, so that no runner looks faster.
        scheduler.first_token(at(ms + 270), id(number));
        scheduler.ended(at(ms + 300), id(number), DispatchEnd::Cancelled);
        granted.push(runner.clone());
        runner
    };
    let first = submit(&mut scheduler, 0, 1);
    // The other one is as fast by now.
    after(&mut scheduler, &first);
    let second = submit(&mut scheduler, 1_000, 2);
    (first, second)
}

#[test]
fn a_beginning_is_sought_where_it_was_read() {
    let (first, second) = next_runner(|_, _| {});
    assert_eq!(first, second);
}

#[rstest]
#[case::started_again(|scheduler: &mut UpstreamScheduler, runner: &RunnerName| {
    scheduler.forget_prompts(runner);
})]
#[case::another_version(|scheduler: &mut UpstreamScheduler, runner: &RunnerName| {
    scheduler.set_version(runner, RunnerVersion::new("v2"));
})]
#[case::removed(|scheduler: &mut UpstreamScheduler, runner: &RunnerName| {
    scheduler.remove_runner(runner);
    scheduler.set_runner(runner.clone(), 4, false);
})]
fn a_runner_that_has_forgotten_is_not_preferred(
    #[case] after: fn(&mut UpstreamScheduler, &RunnerName),
) {
    // A slower answer at the first one decides, as it holds nothing.
    let (first, second) = next_runner(|scheduler, runner| {
        after(scheduler, runner);
        scheduler.set_runner_load(
            at(1_000),
            runner,
            comfreyway_core::fleet::RunnerLoad { running: 0, waiting: 0, slots: 4, slowdown: 1.5 },
        );
    });
    assert_ne!(first, second);
}

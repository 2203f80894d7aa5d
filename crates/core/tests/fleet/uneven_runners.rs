//! Requests of unlike lengths at runners that share their machines with others.

use std::{collections::BTreeMap, time::Duration};

use comfreyway_core::{
    fleet::{Decision, RunnerLoad, UpstreamScheduler},
    ids::RunnerName,
    request::{DispatchEnd, RequestRecord, Usage},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::support::{at, id, name, record};

const STEP_MS: u64 = 5;
const LENGTH_MS: u64 = 30_000;
const RUNNERS: usize = 12;
const SLOTS: u32 = 4;
/// Time for which a neighbour keeps a runner's machine busy, and how much longer work
/// takes meanwhile.
const NEIGHBOUR_MS: u64 = 600;
const SLOWDOWN: f64 = 2.5;
/// Fraction of the time with a neighbour.
const NEIGHBOUR_SHARE: f64 = 0.15;

#[derive(Clone, Copy, Debug, Default)]
struct Knowledge {
    hints: bool,
    loads: bool,
}

#[derive(Debug)]
struct Outcome {
    first_ms: Vec<u64>,
    total_ms: Vec<u64>,
    sent: usize,
    in_time: usize,
}

impl Outcome {
    fn mean_first(&self) -> f64 {
        self.first_ms.iter().sum::<u64>() as f64 / self.first_ms.len() as f64
    }

    fn mean_total(&self) -> f64 {
        self.total_ms.iter().sum::<u64>() as f64 / self.total_ms.len() as f64
    }

    fn in_time(&self) -> f64 {
        self.in_time as f64 / self.sent as f64
    }
}

fn play(seed: u64, knows: Knowledge) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut scheduler = UpstreamScheduler::new(true);
    let mut speeds = BTreeMap::new();
    let mut busy_until: BTreeMap<RunnerName, u64> = BTreeMap::new();
    for number in 0..RUNNERS {
        let runner = name(&format!("r{number}"));
        scheduler.set_runner(runner.clone(), SLOTS, false);
        speeds.insert(runner, [0.7, 0.7, 3.0][number % 3]);
    }
    let mut outcome = Outcome { first_ms: Vec::new(), total_ms: Vec::new(), sent: 0, in_time: 0 };
    let mut requests: BTreeMap<u128, (u64, RequestRecord)> = BTreeMap::new();
    let mut firsts: BTreeMap<u64, Vec<(u128, RunnerName)>> = BTreeMap::new();
    let mut ends: BTreeMap<u64, Vec<(u128, Usage)>> = BTreeMap::new();
    let mut next = 0;
    for ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        let mut out = Vec::new();
        for runner in speeds.keys() {
            let share = NEIGHBOUR_SHARE * STEP_MS as f64 / NEIGHBOUR_MS as f64;
            if busy_until.get(runner).is_none_or(|until| *until < ms) && rng.random_bool(share) {
                busy_until.insert(runner.clone(), ms + NEIGHBOUR_MS);
            }
        }
        let slowdown = |runner: &RunnerName| {
            if busy_until.get(runner).is_some_and(|until| *until > ms) { SLOWDOWN } else { 1.0 }
        };
        let later = firsts.split_off(&(ms + 1));
        for (number, runner) in std::mem::replace(&mut firsts, later).into_values().flatten() {
            let slowdown = slowdown(&runner);
            if knows.loads && slowdown > 1.0 {
                let load = RunnerLoad { running: 1, waiting: 0, slots: SLOTS, slowdown };
                scheduler.set_runner_load(at(ms), &runner, load);
            }
            scheduler.first_token(at(ms), id(number));
            let first_ms = ms - requests[&number].0;
            outcome.first_ms.push(first_ms);
            outcome.in_time += usize::from(first_ms <= 800);
        }
        let later = ends.split_off(&(ms + 1));
        for (number, usage) in std::mem::replace(&mut ends, later).into_values().flatten() {
            scheduler.ended(at(ms), id(number), DispatchEnd::Complete(usage));
            outcome.total_ms.push(ms - requests[&number].0);
        }
        let per_s = if (10_000..16_000).contains(&ms) { 60.0 } else { 30.0 };
        if rng.random_bool(per_s * STEP_MS as f64 / 1e3) {
            next += 1;
            // Lengths spread by a factor of a hundred, hints by two in the median.
            let tokens = (rng.random_range(1.0_f64..6.0).exp() as u32).clamp(4, 400);
            let error = rng.random_range(-0.7_f64..0.7).exp();
            let mut record = record(next, 1, rng.random_range(500..3_000));
            let hint = (f64::from(tokens) * error) as u32;
            record.length_hint = knows.hints.then_some(hint.max(1));
            // The length travels with the play only.
            record.body_bytes = tokens;
            requests.insert(next, (ms, record.clone()));
            outcome.sent += 1;
            scheduler.submit(at(ms), record, Duration::from_secs(8), None, &mut out);
        }
        scheduler.tick(at(ms), &mut out);
        for decision in out {
            let Decision::Grant(_, granted, runner) = decision else { continue };
            let number = granted.value();
            let record = &requests[&number].1;
            let factor = speeds[&runner] * slowdown(&runner);
            let first = 22 + (f64::from(record.prefill_tokens) * 0.02 * factor) as u64;
            let total = first + (f64::from(record.body_bytes) * 5.0 * speeds[&runner]) as u64;
            firsts.entry(ms + first).or_default().push((number, runner));
            let usage = Usage {
                decode_tokens: record.body_bytes,
                first_token: Duration::from_millis(first),
                total: Duration::from_millis(total),
                ..Usage::default()
            };
            ends.entry(ms + total).or_default().push((number, usage));
        }
    }
    outcome
}

fn mean<F>(knows: Knowledge, of: F) -> f64
where
    F: Fn(&Outcome) -> f64,
{
    const SEEDS: u64 = 8;
    (0..SEEDS).map(|seed| of(&play(seed, knows))).sum::<f64>() / SEEDS as f64
}

#[test]
fn hints_shorten_responses_and_lose_no_target() {
    let (none, hints) = (Knowledge::default(), Knowledge { hints: true, loads: false });
    let (off, on) = (mean(none, Outcome::mean_total), mean(hints, Outcome::mean_total));
    println!("{on:.0} ms and {off:.0} ms without hints");
    assert!(on <= off, "{on:.0} ms and {off:.0} ms without hints");
    let (off, on) = (mean(none, Outcome::in_time), mean(hints, Outcome::in_time));
    assert!(on >= off - 0.005, "{on:.3} in time and {off:.3} without hints");
}

#[test]
fn loads_that_runners_tell_shorten_the_first_token() {
    let (none, loads) = (Knowledge::default(), Knowledge { hints: false, loads: true });
    let (off, on) = (mean(none, Outcome::mean_first), mean(loads, Outcome::mean_first));
    println!("{on:.1} ms and {off:.1} ms without loads");
    assert!(on <= off, "{on:.1} ms and {off:.1} ms without loads");
    let (off, on) = (mean(none, Outcome::in_time), mean(loads, Outcome::in_time));
    assert!(on >= off - 0.005, "{on:.3} in time and {off:.3} without loads");
}

/// A runner that claims to be slow and isn't, and one that is and doesn't say so.
#[test]
fn what_a_runner_does_counts_more_than_what_it_says() {
    let mut scheduler = UpstreamScheduler::new(true);
    for runner in ["liar", "slow"] {
        scheduler.set_runner(name(runner), SLOTS, false);
    }
    let claim = RunnerLoad { running: 0, waiting: 0, slots: SLOTS, slowdown: 50.0 };
    let mut used = BTreeMap::new();
    for number in 0..200_u64 {
        let ms = 1_000 * number;
        let mut out = Vec::new();
        let record = record(u128::from(number), 1, 2_000);
        scheduler.submit(at(ms), record, Duration::from_secs(8), None, &mut out);
        let Some(Decision::Grant(_, granted, runner)) = out.pop() else { panic!("no grant") };
        *used.entry(runner.to_string()).or_insert(0) += 1;
        let first = if runner.as_str() == "slow" { 400 } else { 60 };
        if runner.as_str() == "liar" {
            scheduler.set_runner_load(at(ms + first), &runner, claim);
        }
        scheduler.first_token(at(ms + first), granted);
        let usage = Usage {
            decode_tokens: 20,
            first_token: Duration::from_millis(first),
            total: Duration::from_millis(first + 100),
            ..Usage::default()
        };
        scheduler.ended(at(ms + first + 100), granted, DispatchEnd::Complete(usage));
    }
    assert!(used["liar"] >= 150, "{used:?}");
}

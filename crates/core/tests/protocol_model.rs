//! The protocol between entries and owners, walked through its real transitions:
//! two entries that receive the same request, two owners with epochs, one of
//! them the standby of the other.

mod protocol_support;

use std::collections::{HashSet, VecDeque};

use rstest::rstest;

use protocol_support::{Model, Step};

/// Most states of the walk. Every state within some number of steps is reached
/// before any state beyond it.
const MOST_STATES: usize = 200_000;

const SCHEDULES: u64 = 100_000;
const SCHEDULE_STEPS: usize = 40;

#[rstest]
#[case::must_run_at_most_once(false)]
#[case::may_run_again(true)]
fn no_walk_breaks_an_invariant(#[case] idempotent: bool) {
    let mut model = Model::new(idempotent);
    let start = model.start();
    let mut seen = HashSet::from([start.clone()]);
    let mut queue = VecDeque::from([(0, start)]);
    let mut paths: Vec<(usize, Step)> = vec![(0, Step::Later)];
    let (mut depth, mut dispatched) = (0, 0);
    while let Some((number, state)) = queue.pop_front() {
        depth = number;
        dispatched += usize::from(state.dispatched.contains(&true));
        for step in model.steps(&state) {
            let after = model.take(&state, step).unwrap_or_else(|rule| {
                panic!("{rule} after\n{}\n{}", path(&model, &paths, number), model.describe(step))
            });
            if seen.len() < MOST_STATES && seen.insert(after.clone()) {
                paths.push((number, step));
                queue.push_back((paths.len() - 1, after));
            }
        }
    }
    let depth = std::iter::successors(Some(depth), |&n| (n > 0).then(|| paths[n].0)).count() - 1;
    let whole = seen.len() < MOST_STATES;
    println!("{} states (all: {whole}), {depth} steps, {dispatched} dispatched", seen.len());
    assert!(dispatched > 0);
}

/// The steps that lead to a state of the walk.
fn path(model: &Model, paths: &[(usize, Step)], number: usize) -> String {
    let numbers = std::iter::successors(Some(number), |&n| (n > 0).then(|| paths[n].0));
    let steps = numbers.filter(|&n| n > 0).map(|n| model.describe(paths[n].1));
    let mut steps: Vec<_> = steps.collect();
    steps.reverse();
    steps.join("\n")
}

#[test]
fn no_seeded_schedule_breaks_an_invariant() {
    let mut model = Model::new(false);
    let mut dispatched = 0;
    for seed in 0..SCHEDULES {
        let mut state = model.start();
        let mut random = Random(seed);
        let mut path: Vec<Step> = Vec::new();
        for _ in 0..SCHEDULE_STEPS {
            let steps = model.steps(&state);
            let Some(&step) = steps.get(random.below(steps.len().max(1))) else { break };
            path.push(step);
            state = model.take(&state, step).unwrap_or_else(|rule| {
                let path: Vec<_> = path.iter().map(|step| model.describe(*step)).collect();
                panic!("seed {seed}: {rule} after\n{}", path.join("\n"));
            });
        }
        dispatched += u64::from(state.dispatched.contains(&true));
    }
    println!("{SCHEDULES} schedules, {dispatched} with a dispatch");
    assert!(dispatched > SCHEDULES / 10);
}

/// A small generator with a fixed sequence for each seed (SplitMix64).
struct Random(u64);

impl Random {
    fn below(&mut self, limit: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) % limit as u64) as usize
    }
}

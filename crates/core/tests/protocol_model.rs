//! Model of the protocol between entries and owners, explored through the real
//! state machines: two entries that receive the same request, and two hosts that
//! own the pool in turn, the second one as the standby of the first.

mod protocol_support;

use std::collections::{HashSet, VecDeque};

use rstest::rstest;

use protocol_support::{Model, Step};

/// Maximum number of states of the search. It is breadth-first: all states within
/// some number of steps are reached before any state beyond it.
const MAX_STATES: usize = 200_000;

const SCHEDULES: u64 = 100_000;
const SCHEDULE_STEPS: usize = 40;

#[rstest]
#[case::must_run_at_most_once(false)]
#[case::may_run_again(true)]
fn no_reachable_state_breaks_an_invariant(#[case] idempotent: bool) {
    let mut model = Model::new(idempotent);
    let start = model.start();
    let mut seen = HashSet::from([start.clone()]);
    let mut queue = VecDeque::from([(0, start)]);
    let mut predecessors: Vec<(usize, Step)> = vec![(0, Step::AdvanceTime)];
    let (mut last, mut dispatched) = (0, 0);
    while let Some((ix, state)) = queue.pop_front() {
        last = ix;
        dispatched += usize::from(state.dispatched.contains(&true));
        for step in model.steps(&state) {
            let after = model.apply(&state, step).unwrap_or_else(|invariant| {
                panic!(
                    "{invariant} after\n{}\n{}",
                    path(&model, &predecessors, ix),
                    model.describe(step)
                )
            });
            if seen.len() < MAX_STATES && seen.insert(after.clone()) {
                predecessors.push((ix, step));
                queue.push_back((predecessors.len() - 1, after));
            }
        }
    }
    let depth =
        std::iter::successors(Some(last), |&n| (n > 0).then(|| predecessors[n].0)).count() - 1;
    let complete = seen.len() < MAX_STATES;
    println!("{} states (all: {complete}), {depth} steps, {dispatched} dispatched", seen.len());
    assert!(dispatched > 0);
}

/// Returns the steps that lead to a state of the search.
fn path(model: &Model, predecessors: &[(usize, Step)], ix: usize) -> String {
    let indices = std::iter::successors(Some(ix), |&n| (n > 0).then(|| predecessors[n].0));
    let steps = indices.filter(|&n| n > 0).map(|n| model.describe(predecessors[n].1));
    let mut steps: Vec<_> = steps.collect();
    steps.reverse();
    steps.join("\n")
}

#[test]
fn no_random_schedule_breaks_an_invariant() {
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
            state = model.apply(&state, step).unwrap_or_else(|invariant| {
                let path: Vec<_> = path.iter().map(|step| model.describe(*step)).collect();
                panic!("seed {seed}: {invariant} after\n{}", path.join("\n"));
            });
        }
        dispatched += u64::from(state.dispatched.contains(&true));
    }
    println!("{SCHEDULES} schedules, {dispatched} with a dispatch");
    assert!(dispatched > SCHEDULES / 10);
}

/// Random number generator with a fixed sequence for each seed (SplitMix64).
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

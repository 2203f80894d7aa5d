//! Model of two hosts and their coordinators, run through all orders of a few
//! steps and random orders of many: delayed messages, sessions that one side
//! closes before the other, killed hosts, callers that leave. The clock of a killed host may
//! have been set back, so it comes back with an earlier incarnation, or with the same one.
//!
//! Invariants: a request is dispatched to a second runner only if the first did
//! not run it, and never after it was refused. Once all messages are delivered,
//! each request has ended or was refused, and no coordinator occupies a slot
//! without a request.

use std::panic::{AssertUnwindSafe, catch_unwind};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

use self::world::{Step, World};

mod world;

/// Checks the invariants of a settled copy of `world`. Panics with the steps that
/// led to it if one is broken.
fn check(world: &World, steps_taken: &[Step]) {
    let settled = catch_unwind(AssertUnwindSafe(|| world.clone().settle()));
    assert!(settled.is_ok(), "after {steps_taken:?}");
}

/// Checks all orders of `depth` further steps.
fn check_all_orders(world: &World, steps_taken: &mut Vec<Step>, depth: usize) {
    check(world, steps_taken);
    if depth == 0 {
        return;
    }
    for step in world.steps() {
        let mut next = world.clone();
        next.apply(step);
        steps_taken.push(step);
        check_all_orders(&next, steps_taken, depth - 1);
        steps_taken.pop();
    }
}

/// Starts without a session, and with a session whose host has one request in
/// progress and another one waiting.
#[rstest]
#[case::no_session(&[], 4)]
#[case::one_request_dispatched_and_one_waiting(
    &[Step::Connect(0), Step::DeliverToCoordinator(0), Step::DeliverToHost(0), Step::Submit(0), Step::DeliverToCoordinator(0), Step::DeliverToHost(0),
      Step::Submit(0), Step::DeliverToCoordinator(0)],
    4
)]
fn no_short_order_of_steps_breaks_an_invariant(
    #[case] start: &[Step],
    #[case] depth: usize,
    #[values(0, 1, 2)] next_incarnation: u64,
) {
    let mut world = World::new(next_incarnation);
    start.iter().for_each(|step| world.apply(*step));
    check_all_orders(&world, &mut start.to_vec(), depth);
}

#[rstest]
fn no_random_order_of_steps_breaks_an_invariant(#[values(0, 1, 2)] next_incarnation: u64) {
    for seed in 0..3_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = World::new(next_incarnation);
        let mut steps_taken = Vec::new();
        for _ in 0..rng.random_range(5..40) {
            let steps = world.steps();
            // Messages are delivered more often than other steps occur.
            let deliveries: Vec<_> = steps
                .iter()
                .filter(|s| matches!(s, Step::DeliverToCoordinator(_) | Step::DeliverToHost(_)))
                .collect();
            let step = match !deliveries.is_empty() && rng.random_bool(0.5) {
                true => *deliveries[rng.random_range(0..deliveries.len())],
                false if steps.is_empty() => break,
                false => steps[rng.random_range(0..steps.len())],
            };
            steps_taken.push(step);
            world.apply(step);
        }
        check(&world, &steps_taken);
    }
}

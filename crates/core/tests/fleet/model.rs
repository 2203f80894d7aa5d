//! Two hosts and their coordinators, in all orders of a few steps and in random
//! orders of many: messages that wait, sessions that one side gives up before
//! the other, hosts that are killed, callers that leave.
//!
//! A request is never at two runners, or at a second one unless the first did
//! not run it; what was refused is not sent; and once messages flow again each
//! request gets its answer and no coordinator holds a place for nothing.

use std::panic::{AssertUnwindSafe, catch_unwind};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

use self::world::{Step, World};

mod world;

/// Lets a world settle, and names the way to it if that shows a broken promise.
fn check(world: &World, way: &[Step]) {
    let settled = catch_unwind(AssertUnwindSafe(|| world.clone().settle()));
    assert!(settled.is_ok(), "after {way:?}");
}

/// Plays all orders of so many steps after a start.
fn all_orders(world: &World, way: &mut Vec<Step>, depth: usize) {
    check(world, way);
    if depth == 0 {
        return;
    }
    for step in world.steps() {
        let mut next = world.clone();
        next.take(step);
        way.push(step);
        all_orders(&next, way, depth - 1);
        way.pop();
    }
}

/// From nothing, and from a host that asks the other one with a request under
/// way and another one waiting.
#[rstest]
#[case::at_the_start(&[], 4)]
#[case::while_one_asks(
    &[Step::Dial(0), Step::Up(0), Step::Down(0), Step::Submit(0), Step::Up(0), Step::Down(0),
      Step::Submit(0), Step::Up(0)],
    4
)]
fn no_order_of_a_few_steps_breaks_a_promise(#[case] start: &[Step], #[case] depth: usize) {
    let mut world = World::new();
    start.iter().for_each(|step| world.take(*step));
    all_orders(&world, &mut start.to_vec(), depth);
}

#[test]
fn no_long_walk_breaks_a_promise() {
    for seed in 0..3_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = World::new();
        let mut walk = Vec::new();
        for _ in 0..rng.random_range(5..40) {
            let steps = world.steps();
            // Messages flow more often than anything else happens.
            let flow: Vec<_> =
                steps.iter().filter(|s| matches!(s, Step::Up(_) | Step::Down(_))).collect();
            let step = match !flow.is_empty() && rng.random_bool(0.5) {
                true => *flow[rng.random_range(0..flow.len())],
                false if steps.is_empty() => break,
                false => steps[rng.random_range(0..steps.len())],
            };
            walk.push(step);
            world.take(step);
        }
        check(&world, &walk);
    }
}

//! Random schedules with fixed seeds: concurrent writers, service outages, lost
//! replies, partitions and restarts. Each step checks the invariants of the
//! configuration.

#![allow(clippy::unwrap_used)]

mod host;
mod network;
mod store;
mod world;

use rstest::rstest;

use self::world::World;

/// Schedules of one case; the four cases make 100,000.
const SCHEDULES: u64 = 25_000;

/// Random steps of one schedule.
const STEPS: usize = 60;

#[rstest]
fn accepted_changes_persist_and_versions_never_decrease(#[values(0, 1, 2, 3)] part: u64) {
    let mut accepted = 0;
    for seed in part * SCHEDULES..(part + 1) * SCHEDULES {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        world.settle();
        accepted += world.check();
    }
    assert!(accepted > SCHEDULES, "too few changes were accepted to show anything: {accepted}");
}

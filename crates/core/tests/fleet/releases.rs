//! Streams during releases: no stream goes on at another version than the one that
//! began it, whatever happens to hosts, coordinators and the store, and streams that
//! are taken up go on nearly as often as new ones begin.

mod fleet;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

use self::fleet::{CallerWaits, Counts, Fleet, HOSTS, STEP_MS};

/// Length of one play.
const PLAY_MS: u64 = 60_000;

/// Mean time between two faults of a play.
const FAULT_INTERVAL_MS: u64 = 600;

/// Number of kinds of faults, with and without changes of the configuration.
const FAULTS: usize = 12;
const FAULTS_AND_CHANGES: usize = 14;

/// Draws one fault, or the end of one.
fn inject_fault(fleet: &mut Fleet, rng: &mut StdRng, kinds: usize) {
    let host = rng.random_range(0..HOSTS);
    match rng.random_range(0..kinds) {
        0 => fleet.kill(host),
        1 => fleet.kill(fleet.elected()),
        2 => (0..HOSTS).for_each(|host| fleet.kill(host)),
        3 => fleet.cut_from_store(host, true),
        4 => fleet.cut_from_hosts(host, true),
        5 => fleet.pause_views(host, rng.random_range(0..1_500)),
        6 => fleet.start_runner("v1"),
        7 => fleet.start_runner("v2"),
        8 => fleet.start_runner("v3"),
        9 | 10 => fleet.remove_runner(rng.random_range(0..100)),
        12 => fleet.set_short_time_limit(true),
        13 => fleet.set_short_time_limit(false),
        _ => fleet.heal(),
    }
}

/// Plays a fleet with faults drawn from a seed.
fn play(seed: u64, faults: bool) -> Counts {
    play_with(seed, faults.then_some(FAULTS), CallerWaits::Unstated)
}

fn play_with(seed: u64, faults: Option<usize>, waits: CallerWaits) -> Counts {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(waits);
    for step in 0..PLAY_MS / STEP_MS {
        if let Some(kinds) = faults {
            if rng.random_range(0..FAULT_INTERVAL_MS / STEP_MS) == 0 {
                inject_fault(&mut fleet, &mut rng, kinds);
            }
        } else if step % 500 == 250 {
            // A calm release: the next version starts, then the oldest runner leaves.
            fleet.start_runner(["v1", "v2", "v3"][step as usize / 500 % 3]);
            fleet.remove_runner(0);
        }
        fleet.step(&mut rng);
    }
    assert_eq!(fleet.counts.mixed, Vec::<String>::new(), "seed {seed}");
    fleet.counts
}

#[test]
fn no_stream_goes_on_at_another_version_under_drawn_faults() {
    let mut total = Counts::default();
    for seed in 0..24 {
        total.add(&play(seed, true));
    }
    assert!(total.taken_up > 10_000, "{total:?}");
    // Half is what the users ask for, of hosts that no fault has touched.
    assert!(2 * total.went_on * total.asked > total.taken_up * total.began, "{total:?}");
}

/// Operators change the time limit while runners, hosts and the store fail. Streams that
/// began under a longer limit were forgotten after twice the shorter one.
#[rstest]
#[case::callers_that_wait_for_the_time_limit(CallerWaits::Unstated)]
#[case::callers_that_say_how_long_they_wait(CallerWaits::Stated)]
fn no_stream_goes_on_at_another_version_while_time_limits_change(#[case] waits: CallerWaits) {
    let mut total = Counts::default();
    for seed in 100..124 {
        total.add(&play_with(seed, Some(FAULTS_AND_CHANGES), waits));
    }
    assert!(total.taken_up > 5_000, "{total:?}");
    assert!(2 * total.went_on * total.asked > total.taken_up * total.began, "{total:?}");
}

#[rstest]
#[case(1)]
#[case(2)]
fn streams_go_on_as_often_as_new_ones_begin_in_calm_releases(#[case] seed: u64) {
    let counts = play(seed, false);
    assert!(counts.taken_up > 100, "{counts:?}");
    assert_eq!(counts.went_on, counts.taken_up, "{counts:?}");
}

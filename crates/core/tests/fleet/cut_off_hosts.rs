//! Hosts that are cut off from all runners, beside hosts that reach them.

use rstest::rstest;

use crate::runner_fleet::{Counts, Faults, Fleet, PLAY_MS, Pool};

fn play(pool: Pool) -> Counts {
    let mut total = Counts::default();
    for seed in 0..24 {
        let mut fleet = Fleet::new(seed, pool, &[], Faults::RunnerCuts);
        while fleet.now_ms < PLAY_MS {
            fleet.step();
        }
        total.add(fleet.counts);
    }
    total
}

#[rstest]
#[case::engines(Pool::Engines)]
#[case::service(Pool::Service)]
fn hosts_that_are_cut_off_take_no_runners_from_the_others(#[case] pool: Pool) {
    let counts = play(pool);
    assert!(counts.at_others_answered * 100 >= counts.at_others * 98, "{counts:?}");
}

#[rstest]
#[case::engines(Pool::Engines)]
#[case::service(Pool::Service)]
fn callers_of_hosts_that_are_cut_off_are_served_nearly_as_often_as_others(#[case] pool: Pool) {
    let counts = play(pool);
    let (at_cut, at_others) = (counts.at_cut as f64, counts.at_others as f64);
    let served = counts.at_cut_answered as f64 / at_cut;
    let served_at_others = counts.at_others_answered as f64 / at_others;
    assert!(served >= served_at_others * 2.0 / 3.0, "{served:.3} and {served_at_others:.3}");
}

//! Arrivals beyond the first of each request, over all coordinators.

use comfreyway_core::outcome::RetryReason;
use rstest::rstest;

use crate::runner_fleet::{Faults, Fleet, PLAY_MS, Rejections};

/// Returns the worst excess and the retries of some plays.
fn play(rejections: Rejections, faults: Faults) -> (f64, usize) {
    let mut worst = f64::NEG_INFINITY;
    let mut retries = 0;
    for seed in 0..8 {
        let mut fleet = Fleet::with_rejections(seed, rejections, faults);
        while fleet.now_ms < PLAY_MS {
            fleet.step();
        }
        worst = worst.max(fleet.excess_retries());
        retries += fleet.retries();
    }
    (worst, retries)
}

#[rstest]
#[case::one_coordinator(None, Faults::None)]
#[case::killed_each_two_seconds(Some(2_000), Faults::Hosts)]
#[case::killed_three_times_a_second(Some(300), Faults::Hosts)]
#[case::killed_and_cut_off(Some(1_000), Faults::Cuts)]
fn requests_that_runners_reject_stay_within_the_retry_budget(
    #[case] coordinator_ms: Option<u64>,
    #[case] faults: Faults,
    #[values(RetryReason::TurnedAway, RetryReason::Misdirected)] reason: RetryReason,
    #[values(0.5, 0.9)] share: f64,
) {
    let (excess, retries) = play(Rejections { share, reason, coordinator_ms }, faults);
    assert!(excess <= 0.0, "{excess} too many of {retries}");
    assert!(retries > 0);
}

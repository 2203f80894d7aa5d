//! Quotas and the retry budget, over all coordinators together.

use std::time::Duration;

use comfreyway_core::fleet::{Quota, QuotaRule, Quotas, RetryBudget, RetryRule, Share};

use crate::support::at;

const RULE: QuotaRule = QuotaRule { overage: 0.1, slack: 190_000.0, window_s: 8.0 };
const QUOTA: Quota =
    Quota { rate_per_s: 100_000.0, burst: 100_000.0, by_tokens: true, plain_cost: 200.0 };

/// Quotas of a coordinator that takes over at this time.
fn begun(ms: u64) -> Quotas {
    let mut quotas = Quotas::new(RULE);
    quotas.begin(at(ms));
    quotas
}

/// Tokens that pass in a window, when the workspace sends without end.
fn passed(quotas: &mut Quotas, from_ms: u64, to_ms: u64, share: Share) -> f64 {
    let workspace = "desk".parse().unwrap();
    let times = from_ms..to_ms;
    let takes = times.map(|ms| {
        (0..4).filter(|_| quotas.take(at(ms), &workspace, QUOTA, share, 4_000.0).is_ok()).count()
    });
    takes.sum::<usize>() as f64 * 4_000.0
}

/// What the operators allow in a window of eight seconds.
fn allowed() -> f64 {
    (QUOTA.rate_per_s * 8.0 + QUOTA.burst) * 1.1 + RULE.slack
}

#[test]
fn nothing_within_the_quota_is_refused() {
    let mut quotas = Quotas::new(RULE);
    let workspace = "desk".parse().unwrap();
    for ms in (0..20_000).step_by(40) {
        let taken = quotas.take(at(ms), &workspace, QUOTA, Share::new(8, 8), 4_000.0);
        assert_eq!(taken, Ok(()), "at {ms} ms");
    }
}

/// Lets a quota fill up, and returns when it is full.
fn quotas_after_rest(quotas: &mut Quotas) -> u64 {
    passed(quotas, 0, 1, Share::new(8, 8));
    10_000
}

/// A coordinator that has decided for a whole window knows what was used.
#[test]
fn a_workspace_that_comes_first_after_a_window_may_use_its_burst() {
    let mut fresh = begun(0);
    let mut seasoned = begun(0);
    let whole = Share::new(8, 8);
    assert!(passed(&mut fresh, 1_000, 1_001, whole) < 0.4 * QUOTA.burst);
    let steps: f64 =
        (0..30).map(|step| passed(&mut seasoned, 9_000 + step, 9_001 + step, whole)).sum();
    assert!(steps >= QUOTA.burst, "{steps}");
}

/// The coordinator is lost in the middle of a window, and the next one does not
/// know what was used.
#[test]
fn the_sum_over_two_coordinators_in_turn_stays_within_the_allowance() {
    let mut first = Quotas::new(RULE);
    let nothing_before = quotas_after_rest(&mut first);
    let before = passed(&mut first, nothing_before, nothing_before + 4_000, Share::new(8, 8));
    let after = passed(&mut begun(14_000), 14_000, 18_000, Share::new(8, 8));
    assert!(before + after <= allowed(), "{} of {}", before + after, allowed());
}

/// The coordinator is lost, every host decides by itself for a moment, and then
/// the next coordinator does.
#[test]
fn the_sum_over_a_change_with_hosts_alone_meanwhile_stays_within_the_allowance() {
    let mut first = Quotas::new(RULE);
    let start = quotas_after_rest(&mut first);
    let mut sum = passed(&mut first, start, start + 4_000, Share::new(8, 8));
    for _ in 0..8 {
        sum += passed(&mut begun(14_000), 14_000, 14_300, Share::new(1, 8));
    }
    sum += passed(&mut begun(14_300), 14_300, 18_000, Share::new(8, 8));
    assert!(sum <= allowed(), "{sum} of {}", allowed());
}

/// A rolling restart takes two coordinators within one window. Each time every
/// host decides by itself for a moment, and the first request that it meets may
/// be a large one.
#[test]
fn the_sum_over_two_changes_with_large_requests_stays_within_the_allowance() {
    let workspace = "desk".parse().unwrap();
    let alone = |ms: u64| -> f64 {
        let taken = (0..8).filter(|_| {
            begun(ms).take(at(ms), &workspace, QUOTA, Share::new(1, 8), 12_000.0).is_ok()
        });
        taken.count() as f64 * 12_000.0
    };
    let mut first = Quotas::new(RULE);
    let start = quotas_after_rest(&mut first);
    let mut sum = passed(&mut first, start, start + 3_000, Share::new(8, 8));
    sum += alone(13_000);
    sum += passed(&mut begun(13_000), 13_000, 15_000, Share::new(8, 8));
    sum += alone(15_000);
    sum += passed(&mut begun(15_000), 15_000, 18_000, Share::new(8, 8));
    assert!(sum <= allowed(), "{sum} of {}", allowed());
}

/// Three of eight hosts are cut off from the rest.
#[test]
fn the_sum_over_hosts_that_lost_each_other_stays_within_the_allowance() {
    let mut sum = passed(&mut begun(0), 0, 8_000, Share::new(5, 8));
    for _ in 0..3 {
        sum += passed(&mut begun(0), 0, 8_000, Share::new(1, 8));
    }
    assert!(sum <= allowed(), "{sum} of {}", allowed());
}

#[test]
fn a_refusal_tells_when_the_quota_suffices() {
    let mut quotas = Quotas::new(QuotaRule::default());
    let workspace = "desk".parse().unwrap();
    let quota = Quota { rate_per_s: 10.0, burst: 100.0, ..QUOTA };
    let whole = Share::new(1, 1);
    assert_eq!(quotas.take(at(0), &workspace, quota, whole, 100.0), Ok(()));
    let wait = quotas.take(at(0), &workspace, quota, whole, 50.0).unwrap_err();
    assert_eq!(wait, Duration::from_secs(5));
    assert_eq!(quotas.take(at(5_000), &workspace, quota, whole, 50.0), Ok(()));
}

/// Requests of a burst wait, and are refused one after the other some seconds
/// later, while others of the workspace run.
#[test]
fn what_is_refused_after_waiting_lets_no_others_run() {
    let mut quotas = Quotas::new(RULE);
    let workspace = "desk".parse().unwrap();
    let whole = Share::new(8, 8);
    let waited = passed(&mut quotas, 0, 5_000, whole);
    let mut sum = 0.0;
    for ms in 5_000..13_000 {
        quotas.give_back(at(ms), &workspace, waited / 8_000.0, at(ms - 5_000));
        sum += passed(&mut quotas, ms, ms + 1, whole);
    }
    assert!(sum <= allowed(), "{sum} of {}", allowed());
}

#[test]
fn what_was_not_run_goes_back_to_the_quota() {
    let mut quotas = Quotas::new(QuotaRule::default());
    let workspace = "desk".parse().unwrap();
    let quota = Quota { rate_per_s: 1.0, burst: 100.0, ..QUOTA };
    let whole = Share::new(1, 1);
    quotas.take(at(0), &workspace, quota, whole, 100.0).unwrap();
    quotas.give_back(at(0), &workspace, 100.0, at(0));
    assert_eq!(quotas.take(at(0), &workspace, quota, whole, 100.0), Ok(()));
}

#[test]
fn repeats_stay_within_the_budget_when_everything_fails() {
    let rule = RetryRule { ratio: 0.2, slack: 56.0, window_s: 10.0 };
    let whole = Share::new(8, 8);
    let mut budget = RetryBudget::new(at(0), rule, whole);
    let (mut sent, mut repeats) = (0.0, 0.0);
    for ms in (0..10_000).step_by(20) {
        budget.earn(whole);
        sent += 1.0;
        repeats += f64::from(u8::from(budget.take(at(ms), whole)));
    }
    let allowed = rule.ratio * sent + rule.slack;
    assert!(repeats > rule.ratio * sent * 0.5 && repeats <= allowed, "{repeats} of {allowed}");
}

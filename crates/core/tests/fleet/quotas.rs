//! Quotas and the retry budget, over all coordinators together.

use std::time::Duration;

use comfreyway_core::{
    fleet::{Quota, QuotaTolerance, Quotas, RetryBudget, RetryBudgetLimits, Share},
    ids::HostId,
};

use crate::support::{at, host};

const RULE: QuotaTolerance = QuotaTolerance { overage: 0.1, slack: 190_000.0, window_s: 8.0 };
const QUOTA: Quota =
    Quota { rate_per_s: 100_000.0, burst: 100_000.0, by_tokens: true, plain_cost: 200.0 };

/// Quotas of a coordinator, and the hosts that ask it.
struct Deciding {
    quotas: Quotas,
    others: Vec<HostId>,
    /// When the others sent their last signs of life.
    pinged_ms: u64,
}

impl Deciding {
    /// Takes over at this time, for `hosts` of eight.
    fn new(ms: u64, rule: QuotaTolerance, hosts: usize) -> Self {
        let mut quotas = Quotas::new(rule);
        quotas.set_known_hosts(at(ms), 8);
        quotas.local_host_joined(at(ms), host("h0"));
        let others: Vec<_> = (1..hosts).map(|number| host(&format!("h{number}"))).collect();
        for other in &others {
            quotas.host_joined(at(ms), other.clone());
        }
        Self { quotas, others, pinged_ms: ms }
    }

    fn begun(ms: u64, hosts: usize) -> Self {
        Self::new(ms, RULE, hosts)
    }

    fn take(&mut self, ms: u64, quota: Quota, cost: f64) -> Result<(), Duration> {
        while self.pinged_ms + 200 <= ms {
            self.pinged_ms += 200;
            for other in &self.others {
                self.quotas.host_heartbeat(at(self.pinged_ms), other, at(self.pinged_ms));
            }
        }
        let desk = "desk".parse().unwrap();
        let taken = self.quotas.take(at(ms), &desk, quota, cost);
        if taken.is_ok() {
            self.quotas.release(at(ms), &desk, cost);
        }
        taken
    }
}

/// Tokens that pass in a window, when the workspace sends without end.
fn passed(deciding: &mut Deciding, from_ms: u64, to_ms: u64) -> f64 {
    let times = from_ms..to_ms;
    let takes =
        times.map(|ms| (0..4).filter(|_| deciding.take(ms, QUOTA, 4_000.0).is_ok()).count());
    takes.sum::<usize>() as f64 * 4_000.0
}

/// What the operators allow in a window of eight seconds.
fn allowed() -> f64 {
    (QUOTA.rate_per_s * 8.0 + QUOTA.burst) * 1.1 + RULE.slack
}

#[test]
fn nothing_within_the_quota_is_refused() {
    let mut quotas = Deciding::begun(0, 8);
    for ms in (0..20_000).step_by(40) {
        let taken = quotas.take(ms, QUOTA, 4_000.0);
        assert_eq!(taken, Ok(()), "at {ms} ms");
    }
}

/// Lets a quota fill up, and returns when it is full.
fn quotas_after_rest(quotas: &mut Deciding) -> u64 {
    passed(quotas, 0, 1);
    10_000
}

/// A coordinator that has decided for a whole window knows what was used.
#[test]
fn a_workspace_that_comes_first_after_a_window_may_use_its_burst() {
    let mut fresh = Deciding::begun(0, 8);
    let mut seasoned = Deciding::begun(0, 8);
    assert!(passed(&mut fresh, 1_000, 1_001) < 0.4 * QUOTA.burst);
    let steps: f64 = (0..30).map(|step| passed(&mut seasoned, 9_000 + step, 9_001 + step)).sum();
    assert!(steps >= QUOTA.burst, "{steps}");
}

/// A host that has decided alone for a window knows nothing of what the hosts
/// that ask it from now on have let a workspace use.
#[test]
fn the_share_of_a_host_that_joins_late_is_not_known() {
    let mut quotas = Deciding::begun(0, 1);
    passed(&mut quotas, 0, 1);
    for number in 1..8 {
        quotas.quotas.host_joined(at(9_000), host(&format!("h{number}")));
    }
    let other = "another".parse().unwrap();
    let mut units = 0.0;
    while quotas.quotas.take(at(9_001), &other, QUOTA, 4_000.0).is_ok() {
        units += 4_000.0;
    }
    assert!(units < 0.4 * QUOTA.burst, "{units}");
}

/// The coordinator is lost in the middle of a window, and the next one does not
/// know what was used.
#[test]
fn the_sum_over_two_coordinators_in_turn_stays_within_the_allowance() {
    let mut first = Deciding::begun(0, 8);
    let nothing_before = quotas_after_rest(&mut first);
    let before = passed(&mut first, nothing_before, nothing_before + 4_000);
    let after = passed(&mut Deciding::begun(14_000, 8), 14_000, 18_000);
    assert!(before + after <= allowed(), "{} of {}", before + after, allowed());
}

/// The coordinator is lost, every host decides by itself for a moment, and then
/// the next coordinator does.
#[test]
fn the_sum_over_a_change_with_hosts_alone_meanwhile_stays_within_the_allowance() {
    let mut first = Deciding::begun(0, 8);
    let start = quotas_after_rest(&mut first);
    let mut sum = passed(&mut first, start, start + 4_000);
    for _ in 0..8 {
        sum += passed(&mut Deciding::begun(14_000, 1), 14_000, 14_300);
    }
    sum += passed(&mut Deciding::begun(14_300, 8), 14_300, 18_000);
    assert!(sum <= allowed(), "{sum} of {}", allowed());
}

/// A rolling restart takes two coordinators within one window. Each time every
/// host decides by itself for a moment, and the first request that it meets may
/// be a large one.
#[test]
fn the_sum_over_two_changes_with_large_requests_stays_within_the_allowance() {
    let alone = |ms: u64| -> f64 {
        let taken = (0..8).filter(|_| Deciding::begun(ms, 1).take(ms, QUOTA, 12_000.0).is_ok());
        taken.count() as f64 * 12_000.0
    };
    let mut first = Deciding::begun(0, 8);
    let start = quotas_after_rest(&mut first);
    let mut sum = passed(&mut first, start, start + 3_000);
    sum += alone(13_000);
    sum += passed(&mut Deciding::begun(13_000, 8), 13_000, 15_000);
    sum += alone(15_000);
    sum += passed(&mut Deciding::begun(15_000, 8), 15_000, 18_000);
    assert!(sum <= allowed(), "{sum} of {}", allowed());
}

/// Three of eight hosts are cut off from the rest.
#[test]
fn the_sum_over_hosts_that_lost_each_other_stays_within_the_allowance() {
    let mut sum = passed(&mut Deciding::begun(0, 5), 0, 8_000);
    for _ in 0..3 {
        sum += passed(&mut Deciding::begun(0, 1), 0, 8_000);
    }
    assert!(sum <= allowed(), "{sum} of {}", allowed());
}

#[test]
fn a_refusal_tells_when_the_quota_suffices() {
    let mut quotas = Deciding::new(0, QuotaTolerance::default(), 8);
    let quota = Quota { rate_per_s: 10.0, burst: 100.0, ..QUOTA };
    assert_eq!(quotas.take(0, quota, 100.0), Ok(()));
    let wait = quotas.take(0, quota, 50.0).unwrap_err();
    assert_eq!(wait, Duration::from_secs(5));
    assert_eq!(quotas.take(5_000, quota, 50.0), Ok(()));
}

/// Requests of a burst wait, and are refused one after the other some seconds
/// later, while others of the workspace run.
#[test]
fn what_is_refused_after_waiting_lets_no_others_run() {
    let mut quotas = Deciding::begun(0, 8);
    let workspace = "desk".parse().unwrap();
    let waited = passed(&mut quotas, 0, 5_000);
    let mut sum = 0.0;
    for ms in 5_000..13_000 {
        quotas.quotas.refund(at(ms), &workspace, waited / 8_000.0, at(ms - 5_000));
        sum += passed(&mut quotas, ms, ms + 1);
    }
    assert!(sum <= allowed(), "{sum} of {}", allowed());
}

#[test]
fn what_was_not_run_goes_back_to_the_quota() {
    let mut quotas = Deciding::new(0, QuotaTolerance::default(), 8);
    let workspace = "desk".parse().unwrap();
    let quota = Quota { rate_per_s: 1.0, burst: 100.0, ..QUOTA };
    quotas.take(0, quota, 100.0).unwrap();
    quotas.quotas.refund(at(0), &workspace, 100.0, at(0));
    assert_eq!(quotas.take(0, quota, 100.0), Ok(()));
}

#[test]
fn repeats_stay_within_the_budget_when_everything_fails() {
    let rule = RetryBudgetLimits { ratio: 0.2, slack: 56.0, window_s: 10.0 };
    let whole = Share::new(8, 8);
    let mut budget = RetryBudget::new(at(0), rule, whole);
    let (mut sent, mut repeats) = (0.0, 0.0);
    for ms in (0..10_000).step_by(20) {
        budget.deposit(whole);
        sent += 1.0;
        repeats += f64::from(u8::from(budget.take(at(ms), whole)));
    }
    let allowed = rule.ratio * sent + rule.slack;
    assert!(repeats > rule.ratio * sent * 0.5 && repeats <= allowed, "{repeats} of {allowed}");
}

/// Requests that waited behind a burst are sent when the bucket would be full
/// again without them.
#[test]
fn what_has_waited_is_used_when_it_is_sent() {
    let (mut quotas, desk) = (Quotas::new(RULE), "desk".parse().unwrap());
    quotas.set_known_hosts(at(0), 1);
    quotas.local_host_joined(at(0), host("h0"));
    let mut waiting = 0.0;
    for ms in 8_000..11_000 {
        if quotas.take(at(ms), &desk, QUOTA, 4_000.0).is_ok() {
            waiting += 4_000.0;
        }
    }
    quotas.release(at(11_000), &desk, waiting);
    let mut sent = waiting;
    for ms in 11_000..19_000 {
        if quotas.take(at(ms), &desk, QUOTA, 4_000.0).is_ok() {
            quotas.release(at(ms), &desk, 4_000.0);
            sent += 4_000.0;
        }
    }
    assert!(sent <= allowed(), "{sent} of {}", allowed());
}

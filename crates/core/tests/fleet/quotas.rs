//! Quotas and the retry budget, summed over all coordinators.

use std::time::Duration;

use comfreyway_core::{
    fleet::{Quota, QuotaTolerance, Quotas, RetryBudget, RetryBudgetLimits, Share},
    ids::HostId,
};

use crate::support::{at, host};

const TOLERANCE: QuotaTolerance = QuotaTolerance { overage: 0.1, slack: 190_000.0, window_s: 8.0 };
const QUOTA: Quota =
    Quota { rate_per_s: 100_000.0, burst: 100_000.0, by_tokens: true, plain_cost: 200.0 };

/// Quotas of a coordinator, and its client hosts.
struct CoordinatorQuotas {
    quotas: Quotas,
    clients: Vec<HostId>,
    /// Time of the clients' last heartbeats.
    last_heartbeat_ms: u64,
}

impl CoordinatorQuotas {
    /// Creates the quotas of a coordinator that takes over at this time, with
    /// `hosts` of eight hosts, itself included.
    fn new(ms: u64, tolerance: QuotaTolerance, hosts: usize) -> Self {
        let mut quotas = Quotas::new(tolerance);
        quotas.set_known_hosts(at(ms), 8);
        quotas.local_host_joined(at(ms), host("h0"));
        let clients: Vec<_> = (1..hosts).map(|number| host(&format!("h{number}"))).collect();
        for client in &clients {
            quotas.host_joined(at(ms), client.clone());
        }
        Self { quotas, clients, last_heartbeat_ms: ms }
    }

    fn starting_at(ms: u64, hosts: usize) -> Self {
        Self::new(ms, TOLERANCE, hosts)
    }

    /// Takes the cost of a request that is sent at once.
    fn take(&mut self, ms: u64, quota: Quota, cost: f64) -> Result<(), Duration> {
        while self.last_heartbeat_ms + 200 <= ms {
            self.last_heartbeat_ms += 200;
            for client in &self.clients {
                self.quotas.host_heartbeat(
                    at(self.last_heartbeat_ms),
                    client,
                    at(self.last_heartbeat_ms),
                );
            }
        }
        let workspace = "desk".parse().unwrap();
        let taken = self.quotas.take(at(ms), &workspace, quota, cost);
        if taken.is_ok() {
            self.quotas.release(at(ms), &workspace, cost);
        }
        taken
    }
}

/// Returns the tokens admitted in this time if the workspace always has requests
/// to send.
fn admitted_units(quotas: &mut CoordinatorQuotas, from_ms: u64, to_ms: u64) -> f64 {
    let times = from_ms..to_ms;
    let takes = times.map(|ms| (0..4).filter(|_| quotas.take(ms, QUOTA, 4_000.0).is_ok()).count());
    takes.sum::<usize>() as f64 * 4_000.0
}

/// Maximum units that the operators allow in a window of eight seconds.
fn allowed() -> f64 {
    (QUOTA.rate_per_s * 8.0 + QUOTA.burst) * 1.1 + TOLERANCE.slack
}

#[test]
fn nothing_within_the_quota_is_refused() {
    let mut quotas = CoordinatorQuotas::starting_at(0, 8);
    for ms in (0..20_000).step_by(40) {
        let taken = quotas.take(ms, QUOTA, 4_000.0);
        assert_eq!(taken, Ok(()), "at {ms} ms");
    }
}

/// Creates the workspace's bucket at time zero and returns a time at which it is
/// full.
fn create_full_bucket(quotas: &mut CoordinatorQuotas) -> u64 {
    admitted_units(quotas, 0, 1);
    10_000
}

/// A coordinator knows all usage of the window once it has been the coordinator
/// for a whole window.
#[test]
fn full_burst_is_admitted_once_usage_of_a_whole_window_is_known() {
    let mut fresh = CoordinatorQuotas::starting_at(0, 8);
    let mut established = CoordinatorQuotas::starting_at(0, 8);
    assert!(admitted_units(&mut fresh, 1_000, 1_001) < 0.4 * QUOTA.burst);
    let admitted: f64 =
        (0..30).map(|step| admitted_units(&mut established, 9_000 + step, 9_001 + step)).sum();
    assert!(admitted >= QUOTA.burst, "{admitted}");
}

/// A coordinator that had no clients for a window does not know what hosts that
/// join later have admitted of a workspace.
#[test]
fn earlier_usage_of_a_joining_host_is_unknown() {
    let mut quotas = CoordinatorQuotas::starting_at(0, 1);
    admitted_units(&mut quotas, 0, 1);
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

/// The coordinator goes down in the middle of a window, and the next one does not
/// know the usage.
#[test]
fn usage_over_two_successive_coordinators_stays_within_the_allowance() {
    let mut first = CoordinatorQuotas::starting_at(0, 8);
    let start = create_full_bucket(&mut first);
    let before = admitted_units(&mut first, start, start + 4_000);
    let after = admitted_units(&mut CoordinatorQuotas::starting_at(14_000, 8), 14_000, 18_000);
    assert!(before + after <= allowed(), "{} of {}", before + after, allowed());
}

/// The coordinator goes down, every host uses its own coordinator for a moment,
/// and then the next coordinator takes over.
#[test]
fn usage_over_a_change_of_coordinator_stays_within_the_allowance() {
    let mut first = CoordinatorQuotas::starting_at(0, 8);
    let start = create_full_bucket(&mut first);
    let mut sum = admitted_units(&mut first, start, start + 4_000);
    for _ in 0..8 {
        sum += admitted_units(&mut CoordinatorQuotas::starting_at(14_000, 1), 14_000, 14_300);
    }
    sum += admitted_units(&mut CoordinatorQuotas::starting_at(14_300, 8), 14_300, 18_000);
    assert!(sum <= allowed(), "{sum} of {}", allowed());
}

/// A rolling restart stops two coordinators within one window. Each time every
/// host uses its own coordinator for a moment, and the first request there may be
/// a large one.
#[test]
fn usage_over_two_changes_with_large_requests_stays_within_the_allowance() {
    let on_own_coordinators = |ms: u64| -> f64 {
        let taken = (0..8)
            .filter(|_| CoordinatorQuotas::starting_at(ms, 1).take(ms, QUOTA, 12_000.0).is_ok());
        taken.count() as f64 * 12_000.0
    };
    let mut first = CoordinatorQuotas::starting_at(0, 8);
    let start = create_full_bucket(&mut first);
    let mut sum = admitted_units(&mut first, start, start + 3_000);
    sum += on_own_coordinators(13_000);
    sum += admitted_units(&mut CoordinatorQuotas::starting_at(13_000, 8), 13_000, 15_000);
    sum += on_own_coordinators(15_000);
    sum += admitted_units(&mut CoordinatorQuotas::starting_at(15_000, 8), 15_000, 18_000);
    assert!(sum <= allowed(), "{sum} of {}", allowed());
}

/// Three of eight hosts reach no other host and use their own coordinators.
#[test]
fn usage_during_a_network_partition_stays_within_the_allowance() {
    let mut sum = admitted_units(&mut CoordinatorQuotas::starting_at(0, 5), 0, 8_000);
    for _ in 0..3 {
        sum += admitted_units(&mut CoordinatorQuotas::starting_at(0, 1), 0, 8_000);
    }
    assert!(sum <= allowed(), "{sum} of {}", allowed());
}

#[test]
fn refusal_returns_the_time_until_the_quota_suffices() {
    let mut quotas = CoordinatorQuotas::new(0, QuotaTolerance::default(), 8);
    let quota = Quota { rate_per_s: 10.0, burst: 100.0, ..QUOTA };
    assert_eq!(quotas.take(0, quota, 100.0), Ok(()));
    let wait = quotas.take(0, quota, 50.0).unwrap_err();
    assert_eq!(wait, Duration::from_secs(5));
    assert_eq!(quotas.take(5_000, quota, 50.0), Ok(()));
}

/// Requests of a burst wait and are refused one by one some seconds later, while
/// other requests of the workspace run.
#[test]
fn late_refusal_does_not_refund_the_quota() {
    let mut quotas = CoordinatorQuotas::starting_at(0, 8);
    let workspace = "desk".parse().unwrap();
    let waited = admitted_units(&mut quotas, 0, 5_000);
    let mut sum = 0.0;
    for ms in 5_000..13_000 {
        quotas.quotas.refund(at(ms), &workspace, waited / 8_000.0, at(ms - 5_000));
        sum += admitted_units(&mut quotas, ms, ms + 1);
    }
    assert!(sum <= allowed(), "{sum} of {}", allowed());
}

#[test]
fn request_refused_on_arrival_is_refunded() {
    let mut quotas = CoordinatorQuotas::new(0, QuotaTolerance::default(), 8);
    let workspace = "desk".parse().unwrap();
    let quota = Quota { rate_per_s: 1.0, burst: 100.0, ..QUOTA };
    quotas.take(0, quota, 100.0).unwrap();
    quotas.quotas.refund(at(0), &workspace, 100.0, at(0));
    assert_eq!(quotas.take(0, quota, 100.0), Ok(()));
}

#[test]
fn retries_stay_within_the_budget_when_all_requests_fail() {
    let limits = RetryBudgetLimits { ratio: 0.2, slack: 56.0, window_s: 10.0 };
    let whole = Share::new(8, 8);
    let mut budget = RetryBudget::with_unused_slack(at(0), limits);
    let (mut sent, mut retries) = (0.0, 0.0);
    for ms in (0..10_000).step_by(20) {
        budget.deposit(whole);
        sent += 1.0;
        if budget.take(at(ms), whole) {
            budget.sent();
            retries += 1.0;
        }
    }
    let allowed = limits.ratio * sent + limits.slack;
    assert!(retries > limits.ratio * sent * 0.5 && retries <= allowed, "{retries} of {allowed}");
}

/// Retries that wait for a free runner take up the budget until they are sent.
#[test]
fn retries_that_wait_are_not_refilled() {
    let limits = RetryBudgetLimits { ratio: 0.2, slack: 56.0, window_s: 10.0 };
    let whole = Share::new(8, 8);
    let mut budget = RetryBudget::with_unused_slack(at(0), limits);
    let take_all = |budget: &mut RetryBudget, ms| {
        budget.deposit(whole);
        (0..100).filter(|_| budget.take(at(ms), whole)).count()
    };
    let waiting: usize = (0..20_000).step_by(20).map(|ms| take_all(&mut budget, ms)).sum();
    (0..waiting).for_each(|_| budget.sent());
    let (mut sent, mut retries) = (0.0, waiting);
    for ms in (20_000..30_000).step_by(20) {
        sent += 1.0;
        let taken = take_all(&mut budget, ms);
        (0..taken).for_each(|_| budget.sent());
        retries += taken;
    }
    let allowed = limits.ratio * sent + limits.slack;
    assert!(retries as f64 <= allowed, "{retries} of {allowed}");
}

/// Requests that waited behind a burst are sent at a time when the bucket would
/// otherwise be full again.
#[test]
fn units_of_waiting_requests_are_not_refilled() {
    let (mut quotas, workspace) = (Quotas::new(TOLERANCE), "desk".parse().unwrap());
    quotas.set_known_hosts(at(0), 1);
    quotas.local_host_joined(at(0), host("h0"));
    let mut waiting = 0.0;
    for ms in 8_000..11_000 {
        if quotas.take(at(ms), &workspace, QUOTA, 4_000.0).is_ok() {
            waiting += 4_000.0;
        }
    }
    quotas.release(at(11_000), &workspace, waiting);
    let mut sent = waiting;
    for ms in 11_000..19_000 {
        if quotas.take(at(ms), &workspace, QUOTA, 4_000.0).is_ok() {
            quotas.release(at(ms), &workspace, 4_000.0);
            sent += 4_000.0;
        }
    }
    assert!(sent <= allowed(), "{sent} of {}", allowed());
}

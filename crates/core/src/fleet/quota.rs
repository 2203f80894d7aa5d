//! Quotas of workspaces.
//!
//! Answers the load of one workspace that sends many times its usual: what lies
//! beyond its quota is refused, nothing below it.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::WorkspaceName, time::MonoTime};

use super::{Quota, Share};

/// By how much a quota may be exceeded over all hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaRule {
    /// Part of the quota that may be used besides.
    pub overage: f64,
    /// Units that may be used besides.
    pub slack: f64,
    /// Length in seconds of the windows that quotas are judged over.
    pub window_s: f64,
}

/// Part of the slack that a full bucket holds besides its burst.
const SLACK_IN_BUCKET: f64 = 0.1;

/// Part of the slack that comes in evenly over a window.
const SLACK_IN_RATE: f64 = 0.1;

/// Part of the slack with which a bucket starts. A coordinator that takes over
/// does not know what was used lately, and before it every host may have decided
/// by itself. A rolling restart may take several coordinators in one window:
/// this part twice for each of them, and the two above, stay below the slack.
const SLACK_AT_START: f64 = 0.05;

/// Time within which a request that was not run gives back what it took: the
/// way to the coordinator and back, for what is refused on its arrival.
const GIVE_BACK_TIME: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    at: MonoTime,
}

/// Token buckets of the workspaces that one coordinator serves.
#[derive(Debug, Default)]
pub struct Quotas {
    rule: QuotaRule,
    buckets: BTreeMap<WorkspaceName, Bucket>,
    /// Since when everything that was used is known.
    since: Option<MonoTime>,
}

impl Quotas {
    /// Buckets that nothing was taken from.
    #[must_use]
    pub fn new(rule: QuotaRule) -> Self {
        Self { rule, ..Self::default() }
    }

    /// Decides from now on, without knowing what was used before.
    pub fn begin(&mut self, now: MonoTime) {
        self.buckets.clear();
        self.since = Some(now);
    }

    /// Takes `cost` from the workspace's quota, or tells when it may be there.
    ///
    /// # Errors
    ///
    /// Fails with the time after which the quota suffices.
    pub fn take(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceName,
        quota: Quota,
        share: Share,
        cost: f64,
    ) -> Result<(), Duration> {
        if quota.rate_per_s <= 0.0 {
            return Ok(());
        }
        let QuotaRule { overage, slack, window_s } = self.rule;
        let spread = slack * SLACK_IN_RATE / window_s.max(1.0);
        let rate = share.of(quota.rate_per_s * (1.0 + overage) + spread);
        let burst = share.of(quota.burst * (1.0 + overage) + slack * SLACK_IN_BUCKET);
        // What was used before the last window does not matter any more. Without
        // slack, a start below the quota would refuse what lies within it.
        let since = self.since.unwrap_or_default();
        let known = now.since(since).as_secs_f64() >= window_s || slack <= 0.0;
        let start = if known { burst } else { share.of(slack * SLACK_AT_START) };
        let level = start.min(burst);
        let bucket = self.buckets.entry(workspace.clone()).or_insert(Bucket { level, at: now });
        let gained = now.since(bucket.at).as_secs_f64() * rate;
        bucket.level = (bucket.level + gained).min(burst);
        bucket.at = now;
        // A request larger than the whole burst passes when the bucket is full.
        if bucket.level < cost.min(burst) {
            let missing = cost.min(burst) - bucket.level;
            return Err(Duration::from_secs_f64((missing / rate.max(1e-9)).min(3_600.0)));
        }
        bucket.level -= cost;
        Ok(())
    }

    /// Gives back what a request that was not run had taken at `taken`.
    pub fn give_back(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceName,
        cost: f64,
        taken: MonoTime,
    ) {
        // Later than that it would add to what others may use in the present
        // window, although it was taken in an earlier one.
        if now.since(taken) > GIVE_BACK_TIME {
            return;
        }
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.level += cost;
        }
    }
}

//! Quotas of workspaces.
//!
//! Protects against a workspace that sends many times its usual load: requests
//! beyond its quota are refused, requests within it are not.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{HostId, WorkspaceName},
    time::MonoTime,
};

use super::{Quota, Share};

/// By how much a workspace may exceed its quota over all hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Fraction of the quota that may be used in addition.
    pub overage: f64,
    /// Units in a window that may be used in addition.
    pub slack: f64,
    /// Length in seconds of the windows over which usage is checked.
    pub window_s: f64,
}

/// Fraction of the slack that a full bucket holds in addition to its burst.
const BURST_SLACK_FRACTION: f64 = 0.5;

/// Fraction of the slack that is added evenly over a window.
const RATE_SLACK_FRACTION: f64 = 0.3;

/// Fraction of the slack in a new bucket. A coordinator that takes over does not
/// know the recent usage, and before it each host may have used its own
/// coordinator. A rolling restart may change the coordinator several times in
/// one window: twice this fraction for each change, plus the two fractions
/// above, stays below the slack.
const INITIAL_SLACK_FRACTION: f64 = 0.05;

/// Time for which a host's share may be used here after the host sent a
/// heartbeat. Shorter than the silence of the coordinator after which the host
/// uses its share itself, so that no share is used twice.
pub const SHARE_LEASE: Duration = Duration::from_millis(600);

/// Time within which a request that was not run is refunded: a round trip to the
/// coordinator, for a request refused on arrival.
const MAX_REFUND_AGE: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// The quota when it was last used.
    quota: Quota,
    level: f64,
    /// Units taken for requests that wait. They count as used only when the
    /// requests are sent, so the bucket does not refill them before.
    reserved: f64,
    filled_at: MonoTime,
}

/// The lease on one host's share.
#[derive(Clone, Copy, Debug)]
struct ShareLease {
    /// Send time of the last heartbeat, on this host's clock. None for the local
    /// host, whose lease does not expire.
    last_heartbeat: Option<MonoTime>,
    /// Smallest observed difference between this clock and the host's, in
    /// microseconds: that of the heartbeat with the least network delay.
    clock_offset_us: Option<i64>,
}

/// Token buckets of the workspaces that one coordinator serves.
///
/// Each host of the fleet holds an equal share of every quota and leases it to
/// its coordinator. The buckets fill at the rate of the shares that are leased at
/// the moment, so units that a host used by itself, or at another coordinator,
/// can't be used again here.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    tolerance: QuotaTolerance,
    buckets: BTreeMap<WorkspaceName, Bucket>,
    leases: BTreeMap<HostId, ShareLease>,
    known_hosts: usize,
    /// The share at which the buckets have been filled so far.
    share: Option<Share>,
    /// Time since which all usage of the current share is known.
    usage_known_since: MonoTime,
}

impl Quotas {
    /// Creates quotas of which nothing is used.
    #[must_use]
    pub fn new(tolerance: QuotaTolerance) -> Self {
        Self { tolerance, ..Self::default() }
    }

    /// Sets the number of hosts that hold a share each.
    pub fn set_known_hosts(&mut self, now: MonoTime, hosts: usize) {
        self.update_share(now);
        self.known_hosts = hosts;
        self.update_share(now);
    }

    /// Leases the share of the local host, which uses its own coordinator from
    /// now on.
    pub fn local_host_joined(&mut self, now: MonoTime, me: HostId) {
        if self.leases.is_empty() {
            self.buckets.clear();
            self.share = None;
            self.usage_known_since = now;
        }
        self.update_share(now);
        self.leases.insert(me, ShareLease { last_heartbeat: None, clock_offset_us: None });
        self.update_share(now);
    }

    /// Leases the share of another host.
    pub fn host_joined(&mut self, now: MonoTime, host: HostId) {
        self.update_share(now);
        self.leases.insert(host, ShareLease { last_heartbeat: Some(now), clock_offset_us: None });
        self.update_share(now);
    }

    /// Renews a host's lease. `sent` is a time of the host's own clock.
    pub fn host_heartbeat(&mut self, now: MonoTime, host: &HostId, sent: MonoTime) {
        // Accounts for a lease that expired before this heartbeat renews it.
        self.update_share(now);
        let Some(lease) = self.leases.get_mut(host) else { return };
        if lease.last_heartbeat.is_none() {
            return;
        }
        let micros = |at: MonoTime| i64::try_from(at.as_micros()).unwrap_or(i64::MAX);
        let offset = micros(now).saturating_sub(micros(sent));
        let min_offset = lease.clock_offset_us.map_or(offset, |known| known.min(offset));
        lease.clock_offset_us = Some(min_offset);
        let sent_here = micros(sent).saturating_add(min_offset);
        lease.last_heartbeat =
            Some(MonoTime::from_micros(u64::try_from(sent_here).unwrap_or_default()));
    }

    /// Ends the lease of a host whose session ended or that uses its share itself.
    pub fn host_left(&mut self, now: MonoTime, host: &HostId) {
        self.update_share(now);
        self.leases.remove(host);
        self.update_share(now);
    }

    /// Takes `cost` from the workspace's quota.
    ///
    /// # Errors
    ///
    /// Fails with the time after which the quota suffices, at most an hour.
    pub fn take(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceName,
        quota: Quota,
        cost: f64,
    ) -> Result<(), Duration> {
        if quota.rate_per_s <= 0.0 {
            return Ok(());
        }
        self.update_share(now);
        let QuotaTolerance { slack, window_s, .. } = self.tolerance;
        let BucketParams { rate, burst } = self.bucket_params(quota);
        // Usage before the last window is irrelevant. Without slack, a bucket that
        // starts below the burst would refuse requests within the quota.
        let usage_known =
            now.since(self.usage_known_since).as_secs_f64() >= window_s || slack <= 0.0;
        let share = self.share.unwrap_or(Share::new(1, 1));
        let start = if usage_known { burst } else { share.of(slack * INITIAL_SLACK_FRACTION) };
        let level = start.min(burst);
        let bucket = self.buckets.entry(workspace.clone()).or_insert(Bucket {
            quota,
            level,
            reserved: 0.0,
            filled_at: now,
        });
        bucket.quota = quota;
        bucket.fill(now, BucketParams { rate, burst });
        // A request larger than the burst is admitted when the bucket is full.
        if bucket.level < cost.min(burst) {
            let missing = cost.min(burst) - bucket.level;
            return Err(Duration::from_secs_f64((missing / rate.max(1e-9)).min(3_600.0)));
        }
        bucket.level -= cost;
        bucket.reserved += cost;
        Ok(())
    }

    /// Ends the reservation of a request that was granted or removed.
    pub fn release(&mut self, now: MonoTime, workspace: &WorkspaceName, cost: f64) {
        self.update_share(now);
        let Some(quota) = self.buckets.get(workspace).map(|bucket| bucket.quota) else { return };
        let params = self.bucket_params(quota);
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.fill(now, params);
            bucket.reserved = (bucket.reserved - cost).max(0.0);
        }
    }

    /// Applies the shares that are leased now. Called before and after each
    /// change, so that no time counts for a share that was not leased in it.
    fn update_share(&mut self, now: MonoTime) {
        let leased = |lease: &&ShareLease| {
            lease.last_heartbeat.is_none_or(|sent| now.since(sent) <= SHARE_LEASE)
        };
        let leased = self.leases.values().filter(leased).count();
        let share = Share::new(leased, self.known_hosts);
        let Some(before) = self.share.replace(share) else { return };
        if before == share {
            return;
        }
        // The change may have occurred at any time since a bucket was last filled:
        // the smaller share applies to that time.
        let (grows, smaller) =
            if before.of(1.0) < share.of(1.0) { (true, before) } else { (false, share) };
        if grows {
            self.usage_known_since = now;
        }
        self.share = Some(smaller);
        let params: Vec<_> = self.buckets.values().map(|b| self.bucket_params(b.quota)).collect();
        for (bucket, params) in self.buckets.values_mut().zip(params) {
            bucket.fill(now, params);
        }
        self.share = Some(share);
    }

    /// Returns how a quota's bucket fills at the current share.
    fn bucket_params(&self, quota: Quota) -> BucketParams {
        let QuotaTolerance { overage, slack, window_s } = self.tolerance;
        let share = self.share.unwrap_or(Share::new(1, 1));
        let slack_rate = slack * RATE_SLACK_FRACTION / window_s.max(1.0);
        BucketParams {
            rate: share.of(quota.rate_per_s * (1.0 + overage) + slack_rate),
            burst: share.of(quota.burst * (1.0 + overage) + slack * BURST_SLACK_FRACTION),
        }
    }

    /// Refunds the cost, taken at `taken`, of a request that was not run.
    pub fn refund(&mut self, now: MonoTime, workspace: &WorkspaceName, cost: f64, taken: MonoTime) {
        // A later refund would add to the current window units that were taken in
        // an earlier one.
        if now.since(taken) > MAX_REFUND_AGE {
            return;
        }
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.level += cost;
        }
    }
}

/// Fill rate and size of a bucket.
#[derive(Clone, Copy, Debug)]
struct BucketParams {
    /// Units per second.
    rate: f64,
    /// Maximum level in units.
    burst: f64,
}

impl Bucket {
    fn fill(&mut self, now: MonoTime, params: BucketParams) {
        let refill = now.since(self.filled_at).as_secs_f64() * params.rate;
        self.level = (self.level + refill).min(params.burst - self.reserved);
        self.filled_at = now;
    }
}

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
const SLACK_IN_BUCKET: f64 = 0.5;

/// Fraction of the slack that is added evenly over a window.
const SLACK_IN_RATE: f64 = 0.3;

/// Fraction of the slack in a new bucket. A coordinator that takes over does not
/// know the recent usage, and before it each host may have used its own
/// coordinator. A rolling restart may change the coordinator several times in
/// one window: twice this fraction for each change, plus the two fractions
/// above, stays below the slack.
const SLACK_AT_START: f64 = 0.05;

/// Time for which a host's share may be used here after the host sent a
/// heartbeat. Shorter than the silence of the coordinator after which the host
/// uses its share itself, so that no share is used twice.
pub const SHARE_LEASE: Duration = Duration::from_millis(600);

/// Time within which a request that was not run is refunded: a round trip to the
/// coordinator, for a request refused on arrival.
const GIVE_BACK_TIME: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// The quota when it was last used.
    quota: Quota,
    level: f64,
    /// Units taken for requests that wait. They count as used only when the
    /// requests are sent, so the bucket does not refill them before.
    reserved: f64,
    at: MonoTime,
}

/// The lease on one host's share.
#[derive(Clone, Copy, Debug)]
struct Lender {
    /// Send time of the last heartbeat, on this host's clock. None for the local
    /// host, whose lease does not expire.
    sent: Option<MonoTime>,
    /// Smallest observed difference between this clock and the host's, in
    /// microseconds: that of the heartbeat with the least network delay.
    offset_us: Option<i64>,
}

/// Token buckets of the workspaces that one coordinator serves.
///
/// Each host of the fleet holds an equal share of every quota and leases it to
/// its coordinator. The buckets fill at the rate of the shares that are leased at
/// the moment, so units that a host used by itself, or at another coordinator,
/// can't be used again here.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    rule: QuotaTolerance,
    buckets: BTreeMap<WorkspaceName, Bucket>,
    lenders: BTreeMap<HostId, Lender>,
    known_hosts: usize,
    /// The share at which the buckets have been filled so far.
    share: Option<Share>,
    /// Time since which all usage of the current share is known.
    since: MonoTime,
}

impl Quotas {
    /// Creates quotas of which nothing is used.
    #[must_use]
    pub fn new(rule: QuotaTolerance) -> Self {
        Self { rule, ..Self::default() }
    }

    /// Sets the number of hosts that hold a share each.
    pub fn set_known_hosts(&mut self, now: MonoTime, hosts: usize) {
        self.settle(now);
        self.known_hosts = hosts;
        self.settle(now);
    }

    /// Leases the share of the local host, which uses its own coordinator from
    /// now on.
    pub fn local_host_joined(&mut self, now: MonoTime, me: HostId) {
        if self.lenders.is_empty() {
            self.buckets.clear();
            self.share = None;
            self.since = now;
        }
        self.settle(now);
        self.lenders.insert(me, Lender { sent: None, offset_us: None });
        self.settle(now);
    }

    /// Leases the share of another host.
    pub fn host_joined(&mut self, now: MonoTime, host: HostId) {
        self.settle(now);
        self.lenders.insert(host, Lender { sent: Some(now), offset_us: None });
        self.settle(now);
    }

    /// Renews a host's lease. `sent` is a time of the host's own clock.
    pub fn host_heartbeat(&mut self, now: MonoTime, host: &HostId, sent: MonoTime) {
        // A lease that has expired meanwhile starts again.
        self.settle(now);
        let Some(lender) = self.lenders.get_mut(host) else { return };
        if lender.sent.is_none() {
            return;
        }
        let micros = |at: MonoTime| i64::try_from(at.as_micros()).unwrap_or(i64::MAX);
        let offset = micros(now).saturating_sub(micros(sent));
        let least = lender.offset_us.map_or(offset, |known| known.min(offset));
        lender.offset_us = Some(least);
        let sent_here = micros(sent).saturating_add(least);
        lender.sent = Some(MonoTime::from_micros(u64::try_from(sent_here).unwrap_or_default()));
    }

    /// Ends the lease of a host that is lost or uses its share itself.
    pub fn host_left(&mut self, now: MonoTime, host: &HostId) {
        self.settle(now);
        self.lenders.remove(host);
        self.settle(now);
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
        self.settle(now);
        let QuotaTolerance { slack, window_s, .. } = self.rule;
        let Flow { rate, burst } = self.flow(quota);
        // Usage before the last window is irrelevant. Without slack, a bucket that
        // starts below the burst would refuse requests within the quota.
        let known = now.since(self.since).as_secs_f64() >= window_s || slack <= 0.0;
        let share = self.share.unwrap_or(Share::new(1, 1));
        let start = if known { burst } else { share.of(slack * SLACK_AT_START) };
        let level = start.min(burst);
        let bucket = self.buckets.entry(workspace.clone()).or_insert(Bucket {
            quota,
            level,
            reserved: 0.0,
            at: now,
        });
        bucket.quota = quota;
        bucket.fill(now, Flow { rate, burst });
        // A request larger than the burst is admitted when the bucket is full.
        if bucket.level < cost.min(burst) {
            let missing = cost.min(burst) - bucket.level;
            return Err(Duration::from_secs_f64((missing / rate.max(1e-9)).min(3_600.0)));
        }
        bucket.level -= cost;
        bucket.reserved += cost;
        Ok(())
    }

    /// Ends the reservation of a request that is sent or will not be.
    pub fn release(&mut self, now: MonoTime, workspace: &WorkspaceName, cost: f64) {
        self.settle(now);
        let Some(quota) = self.buckets.get(workspace).map(|bucket| bucket.quota) else { return };
        let flow = self.flow(quota);
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.fill(now, flow);
            bucket.reserved = (bucket.reserved - cost).max(0.0);
        }
    }

    /// Applies the shares that are leased now. Called before and after each
    /// change, so that no time counts for a share that was not leased in it.
    fn settle(&mut self, now: MonoTime) {
        let lent = |lender: &&Lender| lender.sent.is_none_or(|sent| now.since(sent) <= SHARE_LEASE);
        let lent = self.lenders.values().filter(lent).count();
        let share = Share::new(lent, self.known_hosts);
        let Some(before) = self.share.replace(share) else { return };
        if before == share {
            return;
        }
        // The change may have occurred at any time since a bucket was last filled:
        // the smaller share applies to that time.
        let (grows, smaller) =
            if before.of(1.0) < share.of(1.0) { (true, before) } else { (false, share) };
        if grows {
            self.since = now;
        }
        self.share = Some(smaller);
        let flows: Vec<_> = self.buckets.values().map(|b| self.flow(b.quota)).collect();
        for (bucket, flow) in self.buckets.values_mut().zip(flows) {
            bucket.fill(now, flow);
        }
        self.share = Some(share);
    }

    /// Returns how a quota's bucket fills at the current share.
    fn flow(&self, quota: Quota) -> Flow {
        let QuotaTolerance { overage, slack, window_s } = self.rule;
        let share = self.share.unwrap_or(Share::new(1, 1));
        let spread = slack * SLACK_IN_RATE / window_s.max(1.0);
        Flow {
            rate: share.of(quota.rate_per_s * (1.0 + overage) + spread),
            burst: share.of(quota.burst * (1.0 + overage) + slack * SLACK_IN_BUCKET),
        }
    }

    /// Refunds the cost, taken at `taken`, of a request that was not run.
    pub fn refund(&mut self, now: MonoTime, workspace: &WorkspaceName, cost: f64, taken: MonoTime) {
        // A later refund would add to the current window units that were taken in
        // an earlier one.
        if now.since(taken) > GIVE_BACK_TIME {
            return;
        }
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.level += cost;
        }
    }
}

/// Fill rate and size of a bucket.
#[derive(Clone, Copy, Debug)]
struct Flow {
    /// Units per second.
    rate: f64,
    /// Maximum level in units.
    burst: f64,
}

impl Bucket {
    fn fill(&mut self, now: MonoTime, flow: Flow) {
        let gained = now.since(self.at).as_secs_f64() * flow.rate;
        self.level = (self.level + gained).min(flow.burst - self.reserved);
        self.at = now;
    }
}

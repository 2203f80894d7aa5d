//! Quotas of workspaces.
//!
//! Answers the load of one workspace that sends many times its usual: what lies
//! beyond its quota is refused, nothing below it.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{HostId, WorkspaceName},
    time::MonoTime,
};

use super::{Quota, Share};

/// By how much a quota may be exceeded over all hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Part of the quota that may be used besides.
    pub overage: f64,
    /// Units that may be used besides.
    pub slack: f64,
    /// Length in seconds of the windows that quotas are judged over.
    pub window_s: f64,
}

/// Part of the slack that a full bucket holds besides its burst.
const SLACK_IN_BUCKET: f64 = 0.5;

/// Part of the slack that comes in evenly over a window.
const SLACK_IN_RATE: f64 = 0.3;

/// Part of the slack with which a bucket starts. A coordinator that takes over
/// does not know what was used lately, and before it every host may have decided
/// by itself. A rolling restart may take several coordinators in one window:
/// this part twice for each of them, and the two above, stay below the slack.
const SLACK_AT_START: f64 = 0.05;

/// Time for which a host's share may be used here after it sent a sign of life.
/// Shorter than the silence of its coordinator after which it uses its share
/// itself, so that no share is used twice.
pub const SHARE_LEASE: Duration = Duration::from_millis(600);

/// Time within which a request that was not run gives back what it took: the
/// way to the coordinator and back, for what is refused on its arrival.
const GIVE_BACK_TIME: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// The quota when it was last used.
    quota: Quota,
    level: f64,
    /// What was taken for requests that wait. It is used when they are sent, so
    /// the bucket does not fill up behind it.
    reserved: f64,
    at: MonoTime,
}

/// A host whose share is used here.
#[derive(Clone, Copy, Debug)]
struct Lender {
    /// When its last sign of life was sent, or never for the own host, which
    /// does not fall silent to itself.
    sent: Option<MonoTime>,
    /// Smallest difference seen between this clock and the host's, in
    /// microseconds: that of the sign which was least on the way.
    offset_us: Option<i64>,
}

/// Token buckets of the workspaces that one coordinator serves.
///
/// Each host of the fleet holds an equal share of every quota and lends it to
/// the coordinator that it asks. The buckets fill at the rate of the shares that
/// are lent at the moment: what a host used by itself, or at another
/// coordinator, is never had again here.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    rule: QuotaTolerance,
    buckets: BTreeMap<WorkspaceName, Bucket>,
    lenders: BTreeMap<HostId, Lender>,
    known_hosts: usize,
    /// The share by which the buckets have filled so far.
    share: Option<Share>,
    /// Since when everything that was used of the present share is known.
    since: MonoTime,
}

impl Quotas {
    /// Buckets that nothing was taken from.
    #[must_use]
    pub fn new(rule: QuotaTolerance) -> Self {
        Self { rule, ..Self::default() }
    }

    /// Hosts that hold a share each.
    pub fn set_known_hosts(&mut self, now: MonoTime, hosts: usize) {
        self.settle(now);
        self.known_hosts = hosts;
        self.settle(now);
    }

    /// This host decides for itself from now on, and lends its own share.
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

    /// Another host lends its share from now on.
    pub fn host_joined(&mut self, now: MonoTime, host: HostId) {
        self.settle(now);
        self.lenders.insert(host, Lender { sent: Some(now), offset_us: None });
        self.settle(now);
    }

    /// Takes in a host's sign of life. `sent` is a time of the host's own clock.
    pub fn host_heartbeat(&mut self, now: MonoTime, host: &HostId, sent: MonoTime) {
        // A share whose lease had ended meanwhile is lent anew.
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

    /// A host uses its share itself, or is gone.
    pub fn host_left(&mut self, now: MonoTime, host: &HostId) {
        self.settle(now);
        self.lenders.remove(host);
        self.settle(now);
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
        cost: f64,
    ) -> Result<(), Duration> {
        if quota.rate_per_s <= 0.0 {
            return Ok(());
        }
        self.settle(now);
        let QuotaTolerance { slack, window_s, .. } = self.rule;
        let Flow { rate, burst } = self.flow(quota);
        // What was used before the last window does not matter any more. Without
        // slack, a start below the quota would refuse what lies within it.
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
        // A request larger than the whole burst passes when the bucket is full.
        if bucket.level < cost.min(burst) {
            let missing = cost.min(burst) - bucket.level;
            return Err(Duration::from_secs_f64((missing / rate.max(1e-9)).min(3_600.0)));
        }
        bucket.level -= cost;
        bucket.reserved += cost;
        Ok(())
    }

    /// What was taken for a request is used now, or never will be.
    pub fn release(&mut self, now: MonoTime, workspace: &WorkspaceName, cost: f64) {
        self.settle(now);
        let Some(quota) = self.buckets.get(workspace).map(|bucket| bucket.quota) else { return };
        let flow = self.flow(quota);
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.fill(now, flow);
            bucket.reserved = (bucket.reserved - cost).max(0.0);
        }
    }

    /// Takes into account which shares are lent now. Called before and after
    /// each change, so that no time counts for a share that was not lent in it.
    fn settle(&mut self, now: MonoTime) {
        let lent = |lender: &&Lender| lender.sent.is_none_or(|sent| now.since(sent) <= SHARE_LEASE);
        let lent = self.lenders.values().filter(lent).count();
        let share = Share::new(lent, self.known_hosts);
        let Some(before) = self.share.replace(share) else { return };
        if before == share {
            return;
        }
        // The change may lie anywhere since a bucket was last used.
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

    /// How the bucket of a quota fills by the present share.
    fn flow(&self, quota: Quota) -> Flow {
        let QuotaTolerance { overage, slack, window_s } = self.rule;
        let share = self.share.unwrap_or(Share::new(1, 1));
        let spread = slack * SLACK_IN_RATE / window_s.max(1.0);
        Flow {
            rate: share.of(quota.rate_per_s * (1.0 + overage) + spread),
            burst: share.of(quota.burst * (1.0 + overage) + slack * SLACK_IN_BUCKET),
        }
    }

    /// Gives back what a request that was not run had taken at `taken`.
    pub fn refund(&mut self, now: MonoTime, workspace: &WorkspaceName, cost: f64, taken: MonoTime) {
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

/// How a bucket fills.
#[derive(Clone, Copy, Debug)]
struct Flow {
    /// Units a second.
    rate: f64,
    /// Most that it holds.
    burst: f64,
}

impl Bucket {
    fn fill(&mut self, now: MonoTime, flow: Flow) {
        let gained = now.since(self.at).as_secs_f64() * flow.rate;
        self.level = (self.level + gained).min(flow.burst - self.reserved);
        self.at = now;
    }
}

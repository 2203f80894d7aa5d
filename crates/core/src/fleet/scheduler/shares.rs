//! Fair shares of workspaces within a tier.
//!
//! Built for a workspace that sends many times its usual, or whose callers repeat at once,
//! while the runners are full: without shares it takes the slots, the queue and the return
//! times of the others in proportion to what it sends.
//!
//! What a workspace may use is found by max-min fairness: each gets what it asks, but none
//! more than a common level, in proportion to its weight. Requests beyond that are marked
//! as they arrive, by a token bucket that fills at the share. They wait behind the others
//! of their tier, so nothing stays unused, and they are shed first and return later.
//! The demand is that of the last seconds, so a new coordinator knows it as soon as the
//! requests do, and a workspace that asks again has its share back as soon.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::{Tier, WorkspaceName},
    time::MonoTime,
};

/// Time constant in seconds over which demand is averaged.
const DEMAND_MEMORY_S: f64 = 2.0;

/// Interval at which shares are computed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Fraction of the capacity that is shared out, and from which on a tier's demand is limited
/// by shares. With more, requests within their shares would wait for each other.
const SHARED_FRACTION: f64 = 0.8;

/// Fraction of the capacity that a tier counts on, whatever more urgent ones ask.
const MIN_TIER_FRACTION: f64 = 0.05;

/// Demand of a workspace relative to its weight, as a multiple of the mean, from which on
/// shares are enforced. Below it, the workspaces ask for alike amounts.
const MIN_UNEVENNESS: f64 = 1.5;

/// Time in seconds for which a workspace may save its share for a burst.
const BUCKET_S: f64 = 0.5;

/// Demand in slots below which a workspace is forgotten.
const MIN_DEMAND: f64 = 1e-3;

/// A workspace that asks for slots.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Slots that its requests of the last seconds keep in use.
    slots: f64,
    updated_at: MonoTime,
    /// Slot seconds that it may still use without being over its share.
    bucket: f64,
    filled_at: MonoTime,
    /// Slots that it may use; none while nothing limits it.
    share: Option<f64>,
}

impl Demand {
    fn decay(&mut self, now: MonoTime) {
        let weight = (-now.since(self.updated_at).as_secs_f64() / DEMAND_MEMORY_S).exp();
        self.slots *= weight;
        self.updated_at = now;
    }

    /// Takes a request out of the bucket. Returns false if it is beyond the share.
    fn take(&mut self, now: MonoTime, slot_s: f64) -> bool {
        let Some(share) = self.share else { return true };
        let filled = self.bucket + share * now.since(self.filled_at).as_secs_f64();
        // One request always fits, also of a workspace with a tiny share.
        self.bucket = filled.min((share * BUCKET_S).max(slot_s));
        self.filled_at = now;
        if self.bucket < slot_s {
            return false;
        }
        self.bucket -= slot_s;
        true
    }
}

/// What workspaces ask for, and their shares.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkspaceShares {
    weights: BTreeMap<WorkspaceName, f64>,
    demands: BTreeMap<Tier, BTreeMap<WorkspaceName, Demand>>,
    refreshed_at: Option<MonoTime>,
}

impl WorkspaceShares {
    /// Sets the weights of workspaces; one without a weight counts as the highest.
    pub(super) fn set_weights(&mut self, weights: BTreeMap<WorkspaceName, f64>) {
        self.weights = weights;
    }

    /// Records a request that keeps a slot in use for `slot_s` seconds. Returns false if it
    /// is beyond the share of its workspace.
    pub(super) fn submitted(
        &mut self,
        now: MonoTime,
        tier: Tier,
        workspace: &WorkspaceName,
        slot_s: f64,
    ) -> bool {
        let demand = self.demands.entry(tier).or_default().entry(workspace.clone()).or_default();
        demand.decay(now);
        demand.slots += slot_s / DEMAND_MEMORY_S;
        demand.take(now, slot_s)
    }

    /// Computes the shares of all workspaces in a capacity of `slots`, if it is time.
    pub(super) fn refresh(&mut self, now: MonoTime, slots: f64) {
        if self.refreshed_at.is_some_and(|at| now.since(at) < REFRESH_INTERVAL) {
            return;
        }
        self.refreshed_at = Some(now);
        let mut left = slots;
        for demands in self.demands.values_mut() {
            demands.values_mut().for_each(|demand| demand.decay(now));
            demands.retain(|_, demand| demand.slots >= MIN_DEMAND);
            let default = self.weights.values().copied().fold(0.0, f64::max);
            let default = if default > 0.0 { default } else { 1.0 };
            let weight = |name: &WorkspaceName| {
                self.weights.get(name).copied().filter(|weight| *weight > 0.0).unwrap_or(default)
            };
            let asked: Vec<_> = demands.iter().map(|(name, d)| (d.slots, weight(name))).collect();
            let capacity = SHARED_FRACTION * left.max(MIN_TIER_FRACTION * slots);
            let level = fair_level(&asked, capacity);
            for (name, demand) in demands {
                let share = level.map(|level| level * weight(name));
                if demand.share.is_none() && share.is_some() {
                    demand.filled_at = now;
                    demand.bucket = f64::INFINITY;
                }
                demand.share = share;
            }
            left -= asked.iter().map(|(slots, _)| slots).sum::<f64>();
        }
        self.demands.retain(|_, demands| !demands.is_empty());
    }

    /// Returns the workspaces that ask for more than their share.
    pub(super) fn over_share(&self) -> BTreeSet<&WorkspaceName> {
        let demands = self.demands.values().flatten();
        let over = demands.filter(|(_, d)| d.share.is_some_and(|share| d.slots > share));
        over.map(|(name, _)| name).collect()
    }
}

/// Returns the slots for each unit of weight up to which demands are met if all together
/// get `capacity`; none if nobody has to be limited. `asked` holds demands and weights.
fn fair_level(asked: &[(f64, f64)], capacity: f64) -> Option<f64> {
    let (total, weights) = asked.iter().fold((0.0, 0.0), |(t, w), (d, v)| (t + d, w + v));
    if total <= capacity {
        return None;
    }
    let mut by_ratio: Vec<_> =
        asked.iter().map(|(demand, weight)| (demand / weight, *weight)).collect();
    by_ratio.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let highest = by_ratio.last().map_or(0.0, |(ratio, _)| *ratio);
    if highest < MIN_UNEVENNESS * total / weights {
        return None;
    }
    let (mut left, mut weights) = (capacity, weights);
    for (ratio, weight) in by_ratio {
        if ratio * weights >= left {
            break;
        }
        left -= ratio * weight;
        weights -= weight;
    }
    Some(left / weights)
}

//! Load shedding: refuses requests for lack of capacity, lowest tier first.

use std::time::Duration;

use crate::{
    ids::{RequestId, Tier},
    outcome::NotRunReason,
    time::MonoTime,
};

use super::{Pool, PoolAction, request::Request, state::MIN_RETRY_AFTER};

/// Time for which lower tiers are refused after a tier was shed.
const LOWER_TIERS_REFUSED_FOR: Duration = Duration::from_secs(1);

/// The highest tier that was shed recently. Lower tiers are refused, so that a
/// higher tier is never shed while a lower one is admitted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentShedding {
    shed: Option<(Tier, MonoTime)>,
}

impl RecentShedding {
    pub(super) fn refuses(&self, now: MonoTime, tier: Tier) -> bool {
        self.shed.is_some_and(|(shed, until)| now < until && tier > shed)
    }

    fn refuse_below(&mut self, now: MonoTime, tier: Tier) {
        let until = now + LOWER_TIERS_REFUSED_FOR;
        let tier = match self.shed {
            Some((shed, old_until)) if now < old_until => shed.min(tier),
            _ => tier,
        };
        self.shed = Some((tier, until));
    }
}

impl Pool {
    /// Admits a new request, displacing lower tiers if necessary, or refuses
    /// it for lack of capacity. Returns the request if it is admitted.
    pub(super) fn admit(
        &mut self,
        now: MonoTime,
        request: Box<Request>,
        out: &mut Vec<PoolAction>,
    ) -> Option<Box<Request>> {
        let tier = request.record.tier;
        if self.recent_shedding.refuses(now, tier) {
            self.refuse(&request, NotRunReason::Shed, LOWER_TIERS_REFUSED_FOR, out);
            return None;
        }
        if let Some(wait) = self.excess_wait(now, &request) {
            self.recent_shedding.refuse_below(now, tier);
            self.refuse(&request, NotRunReason::Shed, wait, out);
            return None;
        }
        self.displace_lower_tiers(now, request, out)
    }

    /// Displaces requests of lower tiers until the request fits into the queue,
    /// the newest one of the lowest tier first. Refuses the request if it still
    /// doesn't fit.
    pub(super) fn displace_lower_tiers(
        &mut self,
        now: MonoTime,
        request: Box<Request>,
        out: &mut Vec<PoolAction>,
    ) -> Option<Box<Request>> {
        let tier = request.record.tier;
        let bytes = u64::from(request.record.body_bytes);
        while !self.fits(bytes) {
            let Some(last) = self.queues.next_to_shed().filter(|&(lowest, _)| lowest > tier) else {
                self.recent_shedding.refuse_below(now, tier);
                self.refuse(&request, NotRunReason::QueueFull, MIN_RETRY_AFTER, out);
                return None;
            };
            self.displace(last.1, out);
        }
        Some(request)
    }

    fn fits(&self, bytes: u64) -> bool {
        let count_fits = self.queues.len() < self.settings.max_waiting;
        count_fits && self.queues.bytes() + bytes <= self.settings.max_waiting_bytes
    }

    fn displace(&mut self, id: RequestId, out: &mut Vec<PoolAction>) {
        if let Some(request) = self.drop_waiting(id) {
            self.refuse(&request, NotRunReason::QueueFull, MIN_RETRY_AFTER, out);
        }
    }

    /// Returns by how much the expected wait of a request exceeds the time left
    /// until its latest start, if it does. Only applies to the lowest waiting
    /// tier.
    fn excess_wait(&mut self, now: MonoTime, request: &Request) -> Option<Duration> {
        let record = &request.record;
        if self.queues.next_to_shed().is_some_and(|(lowest, _)| lowest > record.tier) {
            return None;
        }
        let queue = self.queues.queue_mut(record.tier, request.length)?;
        if queue.fair.is_empty() {
            return None;
        }
        let work = queue.fair.work_ahead(&record.workspace);
        let wait = queue.grant_rate.time_to_grant(now, work)?;
        let left = request.latest_start.since(now);
        (wait > left).then(|| wait - left)
    }
}

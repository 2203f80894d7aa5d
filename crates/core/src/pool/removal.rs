//! Removal of runners and of entries that are down.

use std::time::Duration;

use crate::{
    ids::{HostId, RequestId, RunnerName},
    time::MonoTime,
};

use super::{Pool, timers::Timer};

/// Minimum time for which a granted request of an entry that is down counts as
/// load.
const MIN_ORPHAN_TIME: Duration = Duration::from_secs(5);

/// Maximum time for which a granted request of an entry that is down counts as
/// load.
const MAX_ORPHAN_TIME: Duration = Duration::from_secs(120);

/// Factor on the expected decode time of such a request.
const ORPHAN_FACTOR: u32 = 2;

impl Pool {
    /// Drops the waiting requests of an entry that is down. Its granted
    /// requests may still run at the engine, so they count as load until a
    /// bound has passed.
    pub(super) fn entry_down(&mut self, now: MonoTime, entry: &HostId) {
        let Some(ids) = self.entries.remove(entry) else { return };
        for id in ids {
            if self.drop_waiting(id).is_none() {
                self.schedule_orphan_expiry(now, id);
            }
        }
    }

    pub(super) fn remove_runner(&mut self, now: MonoTime, name: &RunnerName) {
        let Some(ix) = self.runners.find(name) else { return };
        self.prefixes.remove_runner(ix);
        self.runners.remove(now, name, &mut self.timers);
        self.resume_deferred(now, ix);
    }

    fn schedule_orphan_expiry(&mut self, now: MonoTime, id: RequestId) {
        let Some(active) = self.active_requests.get_mut(&id) else { return };
        if let Some((at, timer)) = active.timer.take() {
            self.timers.cancel(at, timer);
        }
        let runner = active.runner.and_then(|ix| self.runners.get(ix));
        let between = runner.map_or(0, |r| r.rates.between_us(f64::from(r.load())));
        let decode = Duration::from_micros(between * u64::from(active.request.decode_tokens));
        let bound = (decode * ORPHAN_FACTOR).clamp(MIN_ORPHAN_TIME, MAX_ORPHAN_TIME);
        let at = now + bound;
        let timer = Timer::OrphanExpiry(id);
        active.timer = Some((at, timer));
        self.timers.set(at, timer);
    }
}

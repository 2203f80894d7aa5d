//! Rate limits that runners name in their responses.

use comfreyway_core::{
    fleet::{LimitReport, RunnerKey},
    time::MonoTime,
};

use crate::events::{Event, log_event};

use super::FleetControl;

impl FleetControl {
    /// Handles what a response to this host says of its runner's rate limit.
    pub(super) fn handle_own_limit(&mut self, now: MonoTime, report: &LimitReport) {
        if self.limits.apply(now, report) {
            self.limit_changed(&report.key);
        }
    }

    fn limit_changed(&mut self, key: &RunnerKey) {
        self.host_state.set_limited_runners(self.limits.iter().next().is_some());
        match self.limits.of(key) {
            Some(limit) => {
                log_event!(Event::RunnerLimited, runner:% = key.name, per_s = limit.per_s);
            }
            None => log_event!(Event::RunnerLimitLifted, runner:% = key.name),
        }
    }
}

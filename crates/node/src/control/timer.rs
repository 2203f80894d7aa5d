//! The timer for all decisions of the control thread.

use actix::{AsyncContext, Context};
use comfreyway_core::{cluster::ClusterInput, time::MonoTime};

use super::ControlActor;

/// Timer times are rounded up to a multiple of this, so that many of them share
/// one wake-up.
const TIMER_GRANULARITY_US: u64 = 2_000;

impl ControlActor {
    /// Requests a tick of all decisions at `at`.
    pub(super) fn set_timer(&mut self, at: MonoTime, cx: &mut Context<Self>) {
        self.timer_times.insert(round_up(at));
        self.arm_timer(cx);
    }

    /// Sets the timer to the earliest requested time. Every time is kept until it
    /// is due, because it is requested only once.
    fn arm_timer(&mut self, cx: &mut Context<Self>) {
        let Some(&at) = self.timer_times.first() else { return };
        if self.armed_timer.as_ref().is_some_and(|(armed, _)| *armed <= at) {
            return;
        }
        if let Some((_, handle)) = self.armed_timer.take() {
            cx.cancel_future(handle);
        }
        let delay = at.since(self.clock.now());
        let handle = cx.run_later(delay, |control, cx| control.on_timer(cx));
        self.armed_timer = Some((at, handle));
    }

    fn on_timer(&mut self, cx: &mut Context<Self>) {
        self.armed_timer = None;
        let now = self.clock.now();
        self.timer_times.retain(|at| *at > now);
        self.decisions.tick(now, &mut self.effects);
        self.run_effects(cx);
        self.cluster_input(ClusterInput::Tick, cx);
        self.arm_timer(cx);
    }
}

fn round_up(at: MonoTime) -> MonoTime {
    MonoTime::from_micros(
        at.as_micros().div_ceil(TIMER_GRANULARITY_US).saturating_mul(TIMER_GRANULARITY_US),
    )
}

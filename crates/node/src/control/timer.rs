//! The timer of all decisions of this host.

use actix::{AsyncContext, Context};
use comfreyway_core::{cluster::ClusterInput, time::MonoTime};

use super::ControlActor;

/// Times that were asked for are rounded up to a multiple of this, so that many
/// of them share one wake-up.
const GRANULARITY_US: u64 = 2_000;

impl ControlActor {
    /// Lets time pass for all decisions at `at`.
    pub(super) fn wake_at(&mut self, at: MonoTime, cx: &mut Context<Self>) {
        self.wakes.insert(round_up(at));
        self.arm_wake(cx);
    }

    /// Sets the timer to the first of the times that were asked for. Every time
    /// is kept until it is due: who asked for it does not ask again.
    fn arm_wake(&mut self, cx: &mut Context<Self>) {
        let Some(&at) = self.wakes.first() else { return };
        if self.wake.as_ref().is_some_and(|(armed, _)| *armed <= at) {
            return;
        }
        if let Some((_, handle)) = self.wake.take() {
            cx.cancel_future(handle);
        }
        let delay = at.since(self.clock.now());
        let handle = cx.run_later(delay, |control, cx| control.woken(cx));
        self.wake = Some((at, handle));
    }

    fn woken(&mut self, cx: &mut Context<Self>) {
        self.wake = None;
        let now = self.clock.now();
        self.wakes.retain(|at| *at > now);
        self.decisions.tick(now, &mut self.effects);
        self.run_effects(cx);
        self.cluster_input(ClusterInput::Tick, cx);
        self.arm_wake(cx);
    }
}

fn round_up(at: MonoTime) -> MonoTime {
    MonoTime::from_micros(at.as_micros().div_ceil(GRANULARITY_US).saturating_mul(GRANULARITY_US))
}

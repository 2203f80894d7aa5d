//! The life cycle of a rollout.

use std::time::Duration;

use crate::{
    fleet::{RunnerVersion, Share},
    ids::{ClassName, RunnerName},
    time::MonoTime,
};

use super::{
    GateMode, RolloutEvidence, RolloutLimits, RolloutOrder, RolloutProgress, RolloutSample,
    RolloutState, RolloutStatus, VersionGate,
};

/// Fraction of the ordered duration that the canary gets.
const CANARY_FRACTION: f64 = 0.6;

/// Fractions of the requests that the target version gets after the canary, each for
/// [`STEP_FRACTION`] of the ordered duration.
const STEPS: [f64; 2] = [0.25, 0.5];
const STEP_FRACTION: f64 = 0.08;

/// Time before the deadline at which a rollout ends, for the write to the store.
const END_MARGIN: Duration = Duration::from_millis(800);

/// Fraction of the ordered duration that this margin may take.
const MAX_MARGIN_FRACTION: f64 = 0.1;

/// Good responses of a version without which it is rolled back at the deadline.
const MIN_ANSWERS_AT_END: u32 = 20;

/// What a rollout needs to know of its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamUse {
    /// Requests in progress at runners of other versions than the target.
    pub at_former: usize,
    /// True if this coordinator schedules the requests of most hosts.
    pub is_majority: bool,
}

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutPhase {
    /// The target version gets its permitted share.
    Canary,
    /// It gets a growing fraction, from this time on.
    Shifting(MonoTime),
    /// It gets all requests, and those at other versions end.
    Draining,
    /// The rollout has ended.
    Ended(RolloutState),
}

/// A rollout of one upstream.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use comfreyway_core::{
///     fleet::{
///         Rollout, RolloutLimits, RolloutOrder, RolloutPhase, RolloutProgress, RunnerVersion,
///         UpstreamUse,
///     },
///     time::MonoTime,
/// };
///
/// let target = RunnerVersion::new("v2").unwrap();
/// let order = RolloutOrder { target, duration: Duration::from_secs(10), revision: 7 };
/// let limits = RolloutLimits { exposure_share: 0.1, exposure_slack: 50.0 };
/// let at = MonoTime::from_millis;
/// let mut rollout = Rollout::new(at(0), order, limits, &RolloutProgress::default());
/// assert_eq!(rollout.phase(), RolloutPhase::Canary);
/// // No runner of that version has responded by the deadline.
/// let idle = UpstreamUse { at_former: 0, is_majority: true };
/// rollout.update(at(10_000), idle);
/// assert!(matches!(rollout.phase(), RolloutPhase::Ended(_)));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    order: RolloutOrder,
    ordered_at: MonoTime,
    phase: RolloutPhase,
    evidence: RolloutEvidence,
    gate: VersionGate,
    /// What the store says of this rollout.
    stored: Option<RolloutState>,
}

impl Rollout {
    /// Starts a rollout that was ordered at `ordered_at`.
    #[must_use]
    pub fn new(
        ordered_at: MonoTime,
        order: RolloutOrder,
        limits: RolloutLimits,
        progress: &RolloutProgress,
    ) -> Self {
        let gate = VersionGate::new(order.target.clone(), limits, progress);
        let evidence = RolloutEvidence::default();
        Self { order, ordered_at, phase: RolloutPhase::Canary, evidence, gate, stored: None }
    }

    /// Returns the order.
    #[must_use]
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns when the rollout was ordered.
    #[must_use]
    pub fn ordered_at(&self) -> MonoTime {
        self.ordered_at
    }

    /// Returns the phase.
    #[must_use]
    pub fn phase(&self) -> RolloutPhase {
        self.phase
    }

    /// Returns the evidence on the target version.
    #[must_use]
    pub fn evidence(&self) -> &RolloutEvidence {
        &self.evidence
    }

    /// Returns the gate of the scheduler.
    #[must_use]
    pub fn gate(&self) -> &VersionGate {
        &self.gate
    }

    /// Returns the gate of the scheduler, to count what it grants.
    pub fn gate_mut(&mut self) -> &mut VersionGate {
        &mut self.gate
    }

    /// Returns the state that the store should have.
    #[must_use]
    pub fn state(&self) -> RolloutState {
        match self.phase {
            RolloutPhase::Ended(state) => state,
            _ => RolloutState::Active,
        }
    }

    /// Returns the status to write if the store has another state.
    #[must_use]
    pub fn unstored_status(&self) -> Option<RolloutStatus> {
        let (target, state) = (self.order.target.clone(), self.state());
        (self.stored != Some(state)).then_some(RolloutStatus { target, state })
    }

    /// Sets what the store says. An end that another coordinator wrote holds here too.
    pub fn set_stored(&mut self, status: Option<&RolloutStatus>) {
        let state = status.filter(|s| s.target == self.order.target).map(|s| s.state);
        self.stored = state;
        if let Some(state @ (RolloutState::Completed | RolloutState::RolledBack)) = state {
            self.end(state);
        }
    }

    /// Sets the share of the slack that this coordinator may use.
    pub fn set_share(&mut self, share: Share) {
        self.gate.set_share(share);
    }

    /// Returns true if this is the version that the rollout introduces.
    #[must_use]
    pub fn is_target(&self, version: Option<&RunnerVersion>) -> bool {
        version == Some(&self.order.target)
    }

    /// Records how a request ended, and rolls back if that shows the version as bad.
    pub fn record(
        &mut self,
        now: MonoTime,
        class: &ClassName,
        runner: &RunnerName,
        version: Option<&RunnerVersion>,
        sample: RolloutSample,
    ) {
        if matches!(self.phase, RolloutPhase::Ended(_)) {
            return;
        }
        self.evidence.record(now, class, runner, self.is_target(version), sample);
        if self.evidence.bad_class().is_some() {
            self.end(RolloutState::RolledBack);
        }
    }

    /// Goes on as time passes.
    pub fn update(&mut self, now: MonoTime, upstream: UpstreamUse) {
        let elapsed = now.since(self.ordered_at);
        let duration = self.order.duration;
        let margin = END_MARGIN.min(duration.mul_f64(MAX_MARGIN_FRACTION));
        let is_due = elapsed >= duration.saturating_sub(margin);
        match self.phase {
            RolloutPhase::Ended(_) => return,
            RolloutPhase::Canary if is_due => {
                let is_tested = self.evidence.good_answers() >= MIN_ANSWERS_AT_END;
                let is_good = is_tested && self.evidence.is_sufficient();
                // Requests at former runners would break off.
                let may_complete = is_good && upstream.is_majority && upstream.at_former == 0;
                match may_complete {
                    true => self.end(RolloutState::Completed),
                    false => self.end(RolloutState::RolledBack),
                }
            }
            RolloutPhase::Canary => {
                let is_tested = elapsed >= duration.mul_f64(CANARY_FRACTION);
                if is_tested && upstream.is_majority && self.evidence.is_sufficient() {
                    self.phase = RolloutPhase::Shifting(now);
                }
            }
            RolloutPhase::Shifting(_) if is_due => self.phase = RolloutPhase::Draining,
            RolloutPhase::Shifting(since) => {
                let step_time = duration.mul_f64(STEP_FRACTION).max(Duration::from_millis(1));
                let step = now.since(since).div_duration_f64(step_time) as usize;
                match STEPS.get(step) {
                    Some(fraction) => self.gate.set_mode(GateMode::Fraction(*fraction)),
                    None => self.phase = RolloutPhase::Draining,
                }
            }
            RolloutPhase::Draining => {
                if upstream.is_majority && (upstream.at_former == 0 || is_due) {
                    self.end(RolloutState::Completed);
                }
            }
        }
        if self.phase == RolloutPhase::Draining {
            self.gate.set_mode(GateMode::TargetOnly);
        }
    }

    fn end(&mut self, state: RolloutState) {
        self.phase = RolloutPhase::Ended(state);
        let is_stored = self.stored == Some(RolloutState::Completed);
        match state {
            RolloutState::RolledBack => self.gate.set_mode(GateMode::Blocked),
            // The former runners serve their streams until the store says that they stop.
            RolloutState::Completed if is_stored => self.gate.set_mode(GateMode::Completed),
            RolloutState::Completed | RolloutState::Active => {
                self.gate.set_mode(GateMode::TargetOnly);
            }
        }
    }
}

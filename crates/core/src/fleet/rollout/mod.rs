//! Rollout of an upstream to another version of its runners' software.
//!
//! An operator orders that an upstream's requests move to runners of a target version
//! within a time. The runners of both versions serve side by side meanwhile.
//!
//! - [`Rollout`] is the life cycle: a canary, steps up to all requests, and its end.
//! - [`VersionGate`] lets the scheduler send the target version only as many requests as
//!   the canary may have.
//! - [`RolloutEvidence`] compares the responses of the target version with those of the
//!   others at the same time, class by class.
//! - [`SequentialTest`] decides how many bad responses are too many.
//!
//! Built for versions that fail or slow down from the first request, later, under load, or
//! in one class only, and for good versions beside runners that fail by themselves.

mod durations;
mod evidence;
mod gate;
mod life_cycle;
mod order;
mod sequential_test;

pub use self::{
    evidence::{RolloutEvidence, RolloutSample},
    gate::{GateMode, VersionGate},
    life_cycle::{Rollout, RolloutPhase, UpstreamUse},
    order::{RolloutLimits, RolloutOrder, RolloutProgress, RolloutState, RolloutStatus},
    sequential_test::SequentialTest,
};

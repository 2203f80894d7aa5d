//! Order and placement of the requests of one upstream.
//!
//! Answers three loads: a burst that needs more places than there are, unlike
//! runners of which a third is several times slower, and prompts that differ in
//! length by a hundred.
//!
//! - A runner never gets more than its places, so no request waits in an
//!   engine's own queue, which knows no tiers.
//! - Tiers go first. Within a tier, requests that can still meet their target
//!   go by their latest start, then the late ones by their arrival.
//! - A request goes to the runner that is expected to start it first. It does
//!   not go where it would miss its target while another runner will be free in
//!   time, and not where its prompt would stop the streams of others for longer
//!   than their target between tokens.
//! - A request that can't be started in good time is refused at once.

mod ewma;
mod learning;
mod placing;
mod queue;
mod refusing;
mod roster;
mod runner;
mod state;

pub use self::{
    runner::{DispatchFailure, RunnerState},
    state::{Decision, UpstreamScheduler},
};

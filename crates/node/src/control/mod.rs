//! The control thread and the typed messages by which traffic reaches it.
//!
//! [`ControlActor`] is the actor. It feeds workers' messages and configuration
//! changes to [`decisions::Decisions`], which holds the entry and the owned
//! pools, and carries out the resulting [`effect::Effect`]s. [`ownership`] does
//! the same for the decisions on who owns which pool.

mod actor;
mod clock;
mod decisions;
mod effect;
mod handle;
mod message;
mod ownership;
mod peers;
mod requests;
mod runners;
mod status;
mod timer;

use self::effect::Effect;
pub use self::{
    actor::ControlActor,
    clock::{Clock, incarnation_now},
    handle::{ControlClosed, ControlHandle, WorkerMessage},
    message::{CallerKey, Decision, Progress, Submission},
    status::{ControlStatus, PoolStatus},
};

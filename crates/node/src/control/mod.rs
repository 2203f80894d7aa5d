//! The control thread's actor and the messages between workers and the actor.
//!
//! [`ControlActor`] passes workers' messages, peers' messages and configuration
//! changes to [`decisions::Decisions`], which holds the entry and the pools of
//! this host, and performs the resulting [`effect::Effect`]s. [`ownership`] does
//! the same for the decisions on which host owns which pool.

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

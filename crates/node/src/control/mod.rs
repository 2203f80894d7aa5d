//! The control thread and the typed messages by which traffic reaches it.

mod handle;
mod message;

pub use self::{
    handle::{ControlClosed, ControlHandle, WorkerMessage},
    message::{CallerKey, Decision, Progress, Submission},
};

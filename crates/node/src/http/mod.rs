//! Callers' interface.
//!
//! A request goes through these steps, one module each:
//!
//! 1. [`admit`] checks head and body against limits and configuration. What
//!    fails is answered `not-run` with a reason; nothing has left this host.
//! 2. [`handler`] submits it to the control thread and waits for decisions. A
//!    [`ticket::Ticket`] reports what becomes of it, exactly once.
//! 3. [`dispatch`] sends it in a task of its own, since a caller that leaves
//!    must not cut off a request that runs.
//! 4. [`exchange`] reads the answer, proves its end, resumes a broken stream,
//!    and records it for repeats.
//! 5. [`body`] carries it to the caller. A body that is not whole never ends
//!    cleanly.
//!
//! Backpressure is by polling: the upstream's connection is read only when the
//! caller's connection takes more.

mod admit;
mod answer;
mod attach;
mod body;
mod dispatch;
mod exchange;
mod handler;
mod idle;
mod phase;
mod read_body;
mod refusal;
mod respond;
mod resume;
mod serve;
mod ticket;
mod traffic;
mod worker;

pub(crate) use self::answer::http_status;
pub use self::{
    attach::serve_result,
    phase::Phase,
    serve::{configure, serve},
    traffic::TrafficState,
};

//! HTTP server for callers.
//!
//! A request passes through these steps, one module each:
//!
//! 1. [`admit`] validates head and body against the limits and the
//!    configuration. A failed check yields `not-run` with a reason; nothing has
//!    left this host.
//! 2. [`handler`] submits the request to the control thread and waits for
//!    decisions. A [`request_handle::RequestHandle`] reports its outcome
//!    exactly once.
//! 3. [`dispatch`] sends the request in its own task, so that a caller that
//!    disconnects does not abort a request that runs.
//! 4. [`exchange`] reads the response, verifies that it is complete, resumes a
//!    broken stream, and records it for repeats.
//! 5. [`body`] streams the response to the caller. An incomplete body never
//!    ends cleanly.
//!
//! Backpressure is by polling: data is read from the upstream's connection only
//! when the caller's connection accepts more.

mod admit;
mod attach;
mod body;
mod dispatch;
mod exchange;
mod handler;
mod idle;
mod phase;
mod problem;
mod read_body;
mod refusal;
mod request_handle;
mod respond;
mod resume;
mod serve;
mod traffic;
mod worker;

pub(crate) use self::problem::http_status;
pub use self::{
    attach::serve_result,
    phase::Phase,
    serve::{configure, serve},
    traffic::TrafficState,
};

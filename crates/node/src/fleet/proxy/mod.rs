//! Reverse proxy between callers and runners.
//!
//! `serve` accepts connections, `handler` admits a request, `exchange` sends it
//! to a runner (`attempt`, `send`), and `relay` forwards a stream event by event. A request's
//! memory is freed with its future: when the caller disconnects, the server
//! drops the future, and with it the connection to the runner.
//!
//! The HTTP library is `hyper`, which drops a request's future as soon as its
//! caller disconnects and gives access to single connections to runners.

mod admitted;
mod attempt;
mod event_buffer;
mod exchange;
mod framing;
mod handler;
mod placement;
mod relay;
mod response;
mod send;
mod serve;

pub(super) use self::{
    handler::{Proxy, ProxyLimits, RequestIds},
    serve::serve,
};

//! Several hosts before the same upstreams: hosts that die, pause and stop, and
//! requests that are repeated at another host.

mod deaths;
mod fleet;
mod ownership;
mod repeats;

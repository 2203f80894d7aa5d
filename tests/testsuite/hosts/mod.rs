//! Several hosts with the same upstreams: hosts that are killed, paused and
//! stopped, and requests that are repeated at another host.

mod failures;
mod fleet;
mod ownership;
mod repeats;

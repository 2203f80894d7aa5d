//! Stand-ins of everything that the scheduler talks to, and a fault proxy.
//!
//! Each stand-in runs on its own thread, listens on a port of the loopback
//! address that the kernel chooses, and stops on drop.
//!
//! - [`kv`]: the key-value service with outage, delay, lost replies and rates.
//! - [`hosts`]: the host list with a lag.

mod cut;
pub mod hosts;
pub mod kv;
pub mod server;

pub use self::server::{ANY_PORT, LocalServer};

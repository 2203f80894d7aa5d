//! The key-value service behind the etcd v3 JSON gateway.
//!
//! - [`wire`] holds the gateway's messages.
//! - `call` sends one message and sorts its failures.
//! - `key_value` expresses [`crate::KeyValue`] in these messages.
//! - `watch` reads the stream of changes.

mod call;
mod config;
mod key_value;
mod prefix;
mod scalar;
mod watch;
pub mod wire;

pub use self::{config::EtcdConfig, key_value::EtcdKeyValue};

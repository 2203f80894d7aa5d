//! How an accepted configuration reaches every host.
//!
//! The key-value service would not stand a watch of every host, so few hosts
//! watch it and pass changes on. [`ConfigSync`] is one host's part, without
//! input or output: it takes what the store and the peers said, and answers
//! with messages and with the configuration to put in force. Versions have one
//! line of descent, made by the swaps at the service, so the higher version
//! always wins and a host never goes back.

mod action;
mod input;
mod message;
mod peers;
mod state;

pub use self::{
    action::SyncAction,
    input::SyncInput,
    message::SyncMessage,
    peers::{FAN_OUT, MAX_WATCHERS},
    state::{ANNOUNCE_INTERVAL, ConfigSync, START_GRACE},
};

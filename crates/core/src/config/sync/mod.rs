//! Distribution of accepted configurations to all hosts.
//!
//! The key-value service can't serve a watch from every host, so a few hosts
//! watch it and forward changes along a tree of peers. [`ConfigSync`] is the
//! state machine of one host and performs no I/O: it handles reads of the store
//! and messages from peers, and returns messages to send and configurations to
//! put in force. The compare-and-swaps at the service put all versions in one
//! sequence, so a host always adopts the higher version and never goes back.

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

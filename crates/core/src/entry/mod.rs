//! Life cycle of the requests that one host accepted.
//!
//! Only the entry decides whether a request is dispatched. The life cycle is a
//! typestate: dispatching consumes a [`Waiting`] value and returns a
//! [`Dispatched`] one, so code that dispatches a request twice does not compile.
//!
//! A grant's lifetime counts from a time of the entry's clock that the entry
//! sent and the owner returned. A grant that was delayed, or sent late by a
//! paused owner, has therefore expired by the entry's clock alone.

mod action;
mod input;
mod lifecycle;
mod owner_changes;
mod owner_events;
mod state;
mod timeouts;

pub use self::{
    action::EntryAction,
    input::{EntryInput, OwnerView},
    lifecycle::{Dispatched, Waiting},
    state::Entry,
};

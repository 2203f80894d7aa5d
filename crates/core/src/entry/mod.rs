//! Life cycle of the requests that one host accepted.
//!
//! The entry is the only place that decides whether a request is dispatched.
//! The life cycle is a typestate: a [`Waiting`] value becomes [`Dispatched`] by
//! consuming it, so that a second dispatch of the same request can't be written.
//!
//! A grant's lifetime counts from a time of the entry's own clock that the entry
//! sent and the owner returned. A grant that was delayed, or that a paused owner
//! sends late, is therefore too old by the entry's clock alone.

mod action;
mod grants;
mod input;
mod lifecycle;
mod owners;
mod state;
mod waits;

pub use self::{
    action::EntryAction,
    input::{EntryInput, OwnerView},
    lifecycle::{Dispatched, Waiting},
    state::Entry,
};

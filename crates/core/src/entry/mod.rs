//! Life cycle of the requests that one host accepted.
//!
//! The entry is the only place that decides whether a request is dispatched.
//! The life cycle is a typestate: a [`Waiting`] value becomes [`Dispatched`] by
//! consuming it, so that a second dispatch of the same request can't be written.

mod action;
mod input;
mod lifecycle;
mod state;

pub use self::{
    action::EntryAction,
    input::{EntryInput, OwnerView},
    lifecycle::{Dispatched, Waiting},
    state::Entry,
};

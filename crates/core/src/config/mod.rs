//! The operators' configuration: classes, workspaces, models, upstreams and
//! routes, under one version number.
//!
//! A [`Document`] is the whole configuration at one version. Operators ask for
//! a [`Change`], a list of [`Edit`]s of single elements. [`AcceptedConfig`] decides
//! on it: a change on top of a newer version than its author saw is merged
//! element by element, checked as a whole, and refused where somebody else
//! changed the same element. Whoever swaps the result into the key-value
//! service, as [`ChangeWriter`] does, has accepted it; [`sync`] spreads it to all hosts.

pub mod sync;

mod accepted;
mod change;
mod change_id;
mod conflict;
mod diff;
mod document;
mod edit;
mod element;
mod elements;
mod finding;
mod touched;
mod validate;
mod writer;

pub use self::{
    accepted::{AcceptedConfig, MAX_HISTORY_BYTES, MAX_HISTORY_CHANGES, ProposalOutcome},
    change::{AcceptedChange, Change},
    change_id::{ChangeId, ChangeIdError},
    conflict::{Conflict, Refusal},
    document::Document,
    edit::Edit,
    element::{Element, ElementKey},
    elements::{
        Class, DataCentre, Model, Route, Runner, Upstream, UpstreamKind, UpstreamSpec, Workspace,
    },
    finding::{Finding, Severity},
    validate::{MAX_NOTE_BYTES, MAX_ROUTE_PREFIX_BYTES, MAX_TIER, MinServiceTimes},
    writer::{ChangeOutcome, ChangeWriter, StoredConfig, SwapReply, UnknownCause, WriterStep},
};

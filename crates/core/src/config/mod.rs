//! The operators' configuration: classes, data centres, models, routes,
//! upstreams and workspaces, under one version number.
//!
//! A [`Document`] is the complete configuration at one version. Operators
//! submit a [`Change`], a list of [`Edit`]s of single elements, and
//! [`AcceptedConfig::propose`] applies it to the current version. If that
//! version is newer than the change's base, the change is merged element by
//! element, and refused if a change since the base set the same element
//! differently. The result must pass validation. A change is accepted once
//! [`ChangeWriter`] has written the result to the key-value service with a
//! compare-and-swap; [`sync`] then distributes it to all hosts.

pub mod sync;

mod accepted;
mod change;
mod change_id;
mod change_index;
mod conflict;
mod diff;
mod document;
mod edit;
mod element;
mod element_values;
mod finding;
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
    element_values::{
        Class, DataCentre, Model, Route, Runner, Upstream, UpstreamKind, UpstreamSpec, Workspace,
    },
    finding::{Finding, Severity},
    validate::{MAX_NOTE_BYTES, MAX_ROUTE_PREFIX_BYTES, MAX_TIER, MinServiceTimes},
    writer::{ChangeOutcome, ChangeWriter, StoredConfig, SwapReply, UnknownCause, WriterStep},
};

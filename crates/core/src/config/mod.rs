//! The operators' configuration: classes, workspaces, models, upstreams and
//! routes, under one version number.

mod document;
mod elements;
mod validate;

pub use self::{
    document::Document,
    elements::{Class, DataCentre, Model, Route, Runner, Upstream, UpstreamKind, Workspace},
    validate::{Finding, Severity},
};

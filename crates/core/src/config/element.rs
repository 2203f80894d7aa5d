//! Elements and their keys. An element is the unit that an edit replaces and at
//! which concurrent changes are merged.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{ClassName, DataCentreName, ModelName, RunnerName, UpstreamName, WorkspaceName};

use super::{Class, DataCentre, Model, Route, Runner, UpstreamSpec, Workspace};

/// Kind and name of an element.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ElementKey {
    /// A request class.
    Class(ClassName),
    /// A data centre.
    DataCentre(DataCentreName),
    /// A model.
    Model(ModelName),
    /// A route, identified by its path prefix.
    Route(String),
    /// A runner of an upstream.
    Runner(UpstreamName, RunnerName),
    /// An upstream, without its runners.
    Upstream(UpstreamName),
    /// A workspace.
    Workspace(WorkspaceName),
}

impl fmt::Display for ElementKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Class(name) => write!(f, "class {name}"),
            Self::DataCentre(name) => write!(f, "data-centre {name}"),
            Self::Model(name) => write!(f, "model {name}"),
            Self::Route(prefix) => write!(f, "route {prefix}"),
            Self::Runner(upstream, name) => write!(f, "runner {upstream} {name}"),
            Self::Upstream(name) => write!(f, "upstream {name}"),
            Self::Workspace(name) => write!(f, "workspace {name}"),
        }
    }
}

/// Kind, name and value of an element.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Element {
    /// A request class.
    Class(ClassName, Class),
    /// A data centre.
    DataCentre(DataCentreName, DataCentre),
    /// A model.
    Model(ModelName, Model),
    /// A route, identified by its path prefix.
    Route(String, Route),
    /// A runner of an upstream.
    Runner(UpstreamName, RunnerName, Runner),
    /// An upstream, without its runners.
    Upstream(UpstreamName, UpstreamSpec),
    /// A workspace.
    Workspace(WorkspaceName, Workspace),
}

impl Element {
    /// Returns the kind and name of the element.
    #[must_use]
    pub fn key(&self) -> ElementKey {
        match self {
            Self::Class(name, _) => ElementKey::Class(name.clone()),
            Self::DataCentre(name, _) => ElementKey::DataCentre(name.clone()),
            Self::Model(name, _) => ElementKey::Model(name.clone()),
            Self::Route(prefix, _) => ElementKey::Route(prefix.clone()),
            Self::Runner(upstream, name, _) => ElementKey::Runner(upstream.clone(), name.clone()),
            Self::Upstream(name, _) => ElementKey::Upstream(name.clone()),
            Self::Workspace(name, _) => ElementKey::Workspace(name.clone()),
        }
    }
}

//! The complete configuration at one version.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{ClassName, DataCentreName, ModelName, UpstreamName, WorkspaceName};

use super::{Class, DataCentre, Model, Route, Upstream, Workspace};

/// The complete configuration at one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Version number; zero for the empty configuration.
    pub version: u64,
    /// Classes by name.
    pub classes: BTreeMap<ClassName, Class>,
    /// Data centres by name.
    pub data_centres: BTreeMap<DataCentreName, DataCentre>,
    /// Models by name.
    pub models: BTreeMap<ModelName, Model>,
    /// Routes by path prefix.
    pub routes: BTreeMap<String, Route>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, Workspace>,
}

impl Document {
    /// Returns the route with the longest prefix of `path`, and that prefix.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<(&str, &Route)> {
        let matches = self.routes.iter().filter(|(prefix, _)| path.starts_with(prefix.as_str()));
        matches.max_by_key(|(prefix, _)| prefix.len()).map(|(p, r)| (p.as_str(), r))
    }
}

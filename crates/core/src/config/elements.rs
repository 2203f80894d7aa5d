//! The elements that operators change one by one.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ClassName, DataCentreName, RegionName, RunnerName, Tier, UpstreamName},
    request::Target,
};

/// A class of work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Class {
    /// Importance; tier 0 gives way last.
    pub tier: Tier,
    /// How soon the class must be answered.
    pub target: Target,
    /// False if a request of this class must run at most once. Such a request
    /// needs an identity from its caller.
    pub idempotent: bool,
    /// True if a stream is cancelled at the engine when its caller leaves.
    pub cancellable: bool,
}

/// A customer of the operators.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Workspace {
    /// Free text for people.
    pub note: String,
}

/// A model and the upstream that serves it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Model {
    /// The upstream whose runners serve the model.
    pub upstream: UpstreamName,
}

/// A data centre and its region.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DataCentre {
    /// The region that the data centre belongs to.
    pub region: RegionName,
}

/// What kind of back end an upstream is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamKind {
    /// A model engine that batches continuously and streams tokens.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// One runner of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Runner {
    /// Address by IP number.
    pub address: SocketAddr,
    /// The data centre that the runner stands in.
    pub data_centre: DataCentreName,
    /// True if an operator told the runner to leave.
    pub leaving: bool,
}

/// A back end with its runners.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Engine or plain service.
    pub kind: UpstreamKind,
    /// True if the runners refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// True if the runners can resume a broken stream.
    pub resumes: bool,
    /// Runners by name.
    pub runners: BTreeMap<RunnerName, Runner>,
}

/// What an operator says of an upstream as a whole. Its runners are elements of
/// their own, so that two operators can change two runners at once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamSpec {
    /// Engine or plain service.
    pub kind: UpstreamKind,
    /// True if the runners refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// True if the runners can resume a broken stream.
    pub resumes: bool,
}

impl Upstream {
    /// The upstream without its runners.
    #[must_use]
    pub fn spec(&self) -> UpstreamSpec {
        let Self { kind, checks_fencing, resumes, .. } = *self;
        UpstreamSpec { kind, checks_fencing, resumes }
    }

    pub(super) fn set_spec(&mut self, spec: UpstreamSpec) {
        self.kind = spec.kind;
        self.checks_fencing = spec.checks_fencing;
        self.resumes = spec.resumes;
    }
}

impl From<UpstreamSpec> for Upstream {
    fn from(spec: UpstreamSpec) -> Self {
        let UpstreamSpec { kind, checks_fencing, resumes } = spec;
        Self { kind, checks_fencing, resumes, runners: BTreeMap::new() }
    }
}

/// A path prefix of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The upstream that serves the path.
    pub upstream: UpstreamName,
    /// Class of a request that names none.
    pub class: Option<ClassName>,
}

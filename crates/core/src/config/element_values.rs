//! Values of the elements of a configuration.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ClassName, DataCentreName, RegionName, RunnerName, Tier, UpstreamName},
    request::Target,
};

/// A request class: priority and latency target of its requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Class {
    /// Priority; tier 0 is shed last.
    pub tier: Tier,
    /// Latency target.
    pub target: Target,
    /// False if a request of this class must run at most once. Its caller must
    /// then send an idempotency key.
    pub idempotent: bool,
    /// True if a stream is cancelled at the engine when its caller disconnects.
    pub cancellable: bool,
}

/// A tenant, one customer of the operators.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Workspace {
    /// Free text for operators.
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

/// Kind of back end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamKind {
    /// A model engine with continuous batching and token streaming.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// One runner of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Runner {
    /// IP address and port.
    pub address: SocketAddr,
    /// Data centre of the runner.
    pub data_centre: DataCentreName,
    /// True if an operator has set the runner to drain.
    pub leaving: bool,
}

/// A back end and its runners.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Model engine or plain HTTP service.
    pub kind: UpstreamKind,
    /// True if the runners reject requests with a stale fencing token.
    pub checks_fencing: bool,
    /// True if the runners can resume an interrupted stream.
    pub resumes: bool,
    /// Runners by name.
    pub runners: BTreeMap<RunnerName, Runner>,
}

/// Settings of an upstream without its runners. Runners are separate elements
/// so that concurrent changes of two runners don't conflict.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamSpec {
    /// Model engine or plain HTTP service.
    pub kind: UpstreamKind,
    /// True if the runners reject requests with a stale fencing token.
    pub checks_fencing: bool,
    /// True if the runners can resume an interrupted stream.
    pub resumes: bool,
}

impl Upstream {
    /// Returns the settings without the runners.
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

/// Maps a path prefix to a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The upstream that serves the path.
    pub upstream: UpstreamName,
    /// Class of requests that don't name one.
    pub class: Option<ClassName>,
}

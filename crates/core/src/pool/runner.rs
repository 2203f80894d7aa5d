//! A runner as the pool owner sees it.

use std::collections::BTreeSet;

use crate::ids::{DataCentreName, RequestId, RunnerName};

/// What the configuration and the host list say of a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerSpec {
    /// The runner's name.
    pub name: RunnerName,
    /// The data centre that it stands in.
    pub data_centre: DataCentreName,
    /// Most requests in progress before anything was learned of the runner.
    pub initial_limit: u32,
    /// True for a model engine, false for a plain service.
    pub engine: bool,
}

/// State of a runner.
#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) spec: RunnerSpec,
    pub(super) leaving: bool,
    pub(super) in_progress: BTreeSet<RequestId>,
}

impl Runner {
    pub(super) fn new(spec: RunnerSpec) -> Self {
        Self { spec, leaving: false, in_progress: BTreeSet::new() }
    }

    pub(super) fn has_room(&self) -> bool {
        !self.leaving && self.in_progress.len() < self.spec.initial_limit as usize
    }
}

//! Events about runners for the owner of their pool.

use actix::Message;
use comfreyway_core::{
    ids::{PoolId, RunnerName},
    pool::{CacheEvent, LoadReport},
};

/// An event about one runner, for the owner of its pool.
#[derive(Clone, Debug, Eq, Message, PartialEq)]
#[rtype(result = "()")]
pub struct RunnerEvent {
    /// The pool.
    pub pool: PoolId,
    /// The runner.
    pub runner: RunnerName,
    /// What happened.
    pub kind: RunnerEventKind,
}

/// What happened at a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunnerEventKind {
    /// The runner reported its load.
    Load(LoadReport),
    /// The runner's prefix cache changed.
    Cache(CacheEvent),
    /// The runner began to leave, or is no longer leaving.
    Leaving(bool),
}

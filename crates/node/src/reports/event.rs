//! What was heard of a runner.

use actix::Message;
use comfreyway_core::{
    ids::{PoolId, RunnerName},
    pool::{CacheEvent, LoadReport},
};

/// What was heard of a runner, for the owner of its pool.
#[derive(Clone, Debug, Eq, Message, PartialEq)]
#[rtype(result = "()")]
pub struct RunnerEvent {
    /// The pool.
    pub pool: PoolId,
    /// The runner.
    pub runner: RunnerName,
    /// The news.
    pub kind: RunnerEventKind,
}

/// News of one runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunnerEventKind {
    /// Its load.
    Load(LoadReport),
    /// A change of its prefix cache.
    Cache(CacheEvent),
    /// It began to leave, or it stays after all.
    Leaving(bool),
}

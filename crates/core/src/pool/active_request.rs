//! Granted requests that have not ended.

use std::time::Duration;

use crate::time::MonoTime;

use super::{request::Request, runner::RunnerIx, timers::Timer};

/// Progress of a granted request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Progress {
    /// The entry has not used the grant yet.
    Granted,
    /// The entry has sent the request to the runner.
    Dispatched,
    /// The first token has arrived.
    Responding,
}

/// A granted request that has not ended.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    pub(super) request: Box<Request>,
    pub(super) runner: Option<RunnerIx>,
    pub(super) progress: Progress,
    pub(super) granted_at: MonoTime,
    /// Expiry of the unused grant, or the time at which a request of an entry
    /// that is down no longer counts as load.
    pub(super) timer: Option<(MonoTime, Timer)>,
    /// Expected time from the grant to the first token.
    pub(super) expected_first_token: Duration,
    /// Sequences at the runner when the request was granted, including it.
    pub(super) sequences_at_grant: u32,
}

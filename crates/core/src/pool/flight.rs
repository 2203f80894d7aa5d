//! A granted request whose end is not known yet.

use std::time::Duration;

use crate::time::MonoTime;

use super::{request::Request, runner::RunnerIx, timers::Timer};

/// Progress of a granted request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Progress {
    /// The entry has not used the grant yet.
    Granted,
    /// The entry has sent the request.
    Dispatched,
    /// The first token has arrived.
    Answering,
}

/// A granted request whose end is not known yet.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) request: Box<Request>,
    pub(super) runner: Option<RunnerIx>,
    pub(super) progress: Progress,
    pub(super) granted: MonoTime,
    /// When an unused grant is taken back, or the load of a host that is gone
    /// is no longer counted.
    pub(super) timer: Option<(MonoTime, Timer)>,
    /// Expected time from the grant to the first token.
    pub(super) expected: Duration,
    /// Sequences at the runner when the request was granted.
    pub(super) sequences: u32,
}

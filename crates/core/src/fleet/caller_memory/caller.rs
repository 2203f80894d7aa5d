//! One caller, and what is held for it.

use crate::time::MonoTime;

/// A caller's connection, or a request by itself.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallerId(pub(super) usize);

impl CallerId {
    /// A small number that no other present caller has.
    #[must_use]
    pub fn index(self) -> usize {
        self.0
    }
}

/// Identifies the workspace of a request, by any hash.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkspaceKey(pub u64);

/// What the caller's connection is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// Waits for the head of a request.
    Idle { since: MonoTime },
    /// Waits for the rest of a body.
    Reading { progress_at: MonoTime },
    /// A request was read completely, and its response is not complete.
    Busy,
    /// The complete response is being written.
    Delivering { progress_at: MonoTime },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Origin {
    Connection,
    Request,
}

/// One caller.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    origin: Origin,
    pub(super) stage: Stage,
    pub(super) workspace: WorkspaceKey,
    /// Bytes of the connection's buffers.
    base: usize,
    /// Bytes held of the request's body.
    pub(super) body: usize,
    /// Bytes held back of the response.
    pub(super) response: usize,
    /// True once the caller has to give way. Its task releases what it holds.
    pub(super) is_evicted: bool,
}

impl Caller {
    pub(super) fn connection(now: MonoTime) -> Self {
        Self::new(Origin::Connection, Stage::Idle { since: now })
    }

    pub(super) fn request(now: MonoTime) -> Self {
        Self::new(Origin::Request, Stage::Reading { progress_at: now })
    }

    fn new(origin: Origin, stage: Stage) -> Self {
        let workspace = WorkspaceKey::default();
        Self { origin, stage, workspace, base: 0, body: 0, response: 0, is_evicted: false }
    }

    pub(super) fn with_base(mut self, bytes: usize) -> Self {
        self.base = bytes;
        self
    }

    pub(super) fn is_connection(&self) -> bool {
        self.origin == Origin::Connection
    }

    pub(super) fn bytes(&self) -> usize {
        self.base + self.body + self.response
    }

    /// Returns when the body that is being read last advanced.
    pub(super) fn progress_at(&self) -> Option<MonoTime> {
        match self.stage {
            Stage::Reading { progress_at } => Some(progress_at),
            Stage::Idle { .. } | Stage::Busy | Stage::Delivering { .. } => None,
        }
    }

    /// Returns since when the host waits for bytes of the caller, whose connection can be
    /// closed meanwhile.
    pub(super) fn waits_since(&self) -> Option<MonoTime> {
        match self.stage {
            Stage::Idle { since } | Stage::Reading { progress_at: since } => {
                self.is_connection().then_some(since)
            }
            Stage::Busy | Stage::Delivering { .. } => None,
        }
    }

    /// Returns when the response that is being written last advanced.
    pub(super) fn delivery_at(&self) -> Option<MonoTime> {
        match self.stage {
            Stage::Delivering { progress_at } => Some(progress_at),
            Stage::Idle { .. } | Stage::Reading { .. } | Stage::Busy => None,
        }
    }
}

//! The protocol by which one host writes one change.
//!
//! The key-value service may be down, may lose a reply after a write took
//! effect, and may serve other writers in between. The writer believes nothing
//! but a reply or what it reads back. It only swaps against the revision that it
//! read, so a write that is still on its way can't take effect once the
//! revision has moved on; and it looks for its own identity in what it reads,
//! so a write that did take effect is found and not repeated.

use super::{AcceptedConfig, Change, ChangeId, Finding, ProposalOutcome, Refusal};

/// Most failed calls before the outcome is given as unknown.
const MAX_FAILED_CALLS: u32 = 6;

/// Most swaps lost to other writers before the outcome is given as unknown.
const MAX_LOST_SWAPS: u32 = 64;

/// The stored configuration as one read showed it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredConfig {
    /// The configuration.
    pub accepted: AcceptedConfig,
    /// Revision of the key that every change swaps; zero if it does not exist.
    pub revision: u64,
}

/// Reply to a swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapReply {
    /// The swap took effect.
    Written,
    /// The key was at another revision. Nothing was written.
    Mismatch,
    /// The call failed. The swap may have taken effect, or may still.
    Failed,
}

/// What the writer needs next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriterStep {
    /// Read the stored configuration and call [`ChangeWriter::on_read`]. After a
    /// failed call, wait for a moment first.
    Read {
        /// True if the previous call failed.
        after_failure: bool,
    },
    /// Swap the configuration and call [`ChangeWriter::on_swap`].
    Swap {
        /// The revision to swap against.
        expected: u64,
        /// The configuration to write.
        next: Box<AcceptedConfig>,
    },
    /// The change is decided.
    Done(ChangeOutcome),
}

/// What became of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// The change is in this version and every later one.
    Accepted {
        /// The version that the change made.
        version: u64,
        /// Findings that don't stand in the way.
        warnings: Vec<Finding>,
        /// The configuration to spread, newer than or equal to `version`.
        newest: Box<AcceptedConfig>,
    },
    /// Nothing was written, and nothing will be.
    Refused(Refusal),
    /// The change may have been accepted.
    Unknown {
        /// Identity to ask about later, or to repeat the change with.
        id: ChangeId,
        /// Why it can't be told.
        cause: UnknownCause,
    },
}

/// Why the outcome of a change can't be told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownCause {
    /// The key-value service does not answer.
    ServiceDown,
    /// Other writers were faster each time.
    Contention,
    /// The stored version is lower than the one in force here: the service has
    /// lost what it had accepted.
    StoreBehind,
    /// The base is older than the history, which may have forgotten an earlier
    /// attempt with this identity.
    BeyondHistory,
}

/// Writes one change.
#[derive(Clone, Debug)]
pub struct ChangeWriter {
    change: Change,
    now_ms: u64,
    floor: u64,
    failed_calls: u32,
    lost_swaps: u32,
    swapping: Option<(Box<AcceptedConfig>, Vec<Finding>)>,
}

impl ChangeWriter {
    /// A writer that has not read anything. `now_ms` is for people only.
    #[must_use]
    pub fn new(change: Change, now_ms: u64) -> Self {
        Self { change, now_ms, floor: 0, failed_calls: 0, lost_swaps: 0, swapping: None }
    }

    /// Writes nothing on top of a version lower than `floor`, the version in
    /// force on this host.
    #[must_use]
    pub fn with_min_version(mut self, floor: u64) -> Self {
        self.floor = floor;
        self
    }

    /// The first step.
    #[must_use]
    pub fn start(&self) -> WriterStep {
        WriterStep::Read { after_failure: false }
    }

    /// Decides on what was read; none if the read failed.
    pub fn on_read(&mut self, read: Option<StoredConfig>) -> WriterStep {
        let Some(StoredConfig { accepted, revision }) = read else { return self.failed() };
        if accepted.version() < self.floor {
            return self.unknown(UnknownCause::StoreBehind);
        }
        match accepted.propose(&self.change, self.now_ms) {
            ProposalOutcome::Next { next, warnings } => {
                self.swapping = Some((next.clone(), warnings));
                WriterStep::Swap { expected: revision, next }
            }
            ProposalOutcome::Duplicate(version) | ProposalOutcome::Unchanged(version) => {
                let newest = Box::new(accepted);
                let warnings = Vec::new();
                WriterStep::Done(ChangeOutcome::Accepted { version, warnings, newest })
            }
            ProposalOutcome::Refused(Refusal::Base { base, oldest, .. }) if base < oldest => {
                self.unknown(UnknownCause::BeyondHistory)
            }
            ProposalOutcome::Refused(refusal) => WriterStep::Done(ChangeOutcome::Refused(refusal)),
        }
    }

    /// Decides on the reply to a swap.
    pub fn on_swap(&mut self, reply: SwapReply) -> WriterStep {
        match (reply, self.swapping.take()) {
            (SwapReply::Written, Some((newest, warnings))) => {
                let version = newest.version();
                WriterStep::Done(ChangeOutcome::Accepted { version, warnings, newest })
            }
            (SwapReply::Mismatch, _) if self.lost_swaps < MAX_LOST_SWAPS => {
                self.lost_swaps += 1;
                WriterStep::Read { after_failure: false }
            }
            (SwapReply::Mismatch, _) => self.unknown(UnknownCause::Contention),
            (SwapReply::Failed, _) | (SwapReply::Written, None) => self.failed(),
        }
    }

    fn failed(&mut self) -> WriterStep {
        self.failed_calls += 1;
        if self.failed_calls > MAX_FAILED_CALLS {
            return self.unknown(UnknownCause::ServiceDown);
        }
        WriterStep::Read { after_failure: true }
    }

    fn unknown(&self, cause: UnknownCause) -> WriterStep {
        WriterStep::Done(ChangeOutcome::Unknown { id: self.change.id, cause })
    }
}

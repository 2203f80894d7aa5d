//! Protocol that writes one change to the key-value service.
//!
//! The service may be down, may lose the reply to a write that took effect, and
//! may serve other writers in between. The writer therefore relies only on
//! replies and on what it reads back. It swaps against the revision that it has
//! read, so a delayed write can't take effect after another one. It looks for
//! the change's identifier in what it reads, so a write that took effect
//! without a reply is found and not repeated.

use super::{AcceptedConfig, Change, ChangeId, Finding, ProposalOutcome, Refusal};

/// Maximum failed calls before the outcome is reported as unknown.
const MAX_FAILED_CALLS: u32 = 6;

/// Maximum swaps that fail because another writer was first, before the outcome
/// is reported as unknown.
const MAX_MISMATCHES: u32 = 64;

/// The stored configuration, as read at one revision.
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
    /// The new value was written.
    Written,
    /// The key had another revision. Nothing was written.
    Mismatch,
    /// The call failed. The swap may have taken effect or may still do so.
    Failed,
}

/// Next step for the caller of the writer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriterStep {
    /// Read the stored configuration and call [`ChangeWriter::on_read`]. Back
    /// off first if the previous call failed.
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
    /// The outcome is known.
    Done(ChangeOutcome),
}

/// Outcome of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// The change was accepted: `version` and every later one include it.
    Accepted {
        /// The version that the change created, or that already contained its
        /// edits.
        version: u64,
        /// Findings that didn't prevent acceptance.
        warnings: Vec<Finding>,
        /// The configuration to distribute, at `version` or newer.
        newest: Box<AcceptedConfig>,
    },
    /// Nothing was written, and nothing will be.
    Refused(Refusal),
    /// The change may have been accepted.
    Unknown {
        /// Identifier for a later query, or for a safe retry of the change.
        id: ChangeId,
        /// Why the outcome is unknown.
        cause: UnknownCause,
    },
}

/// Why the outcome of a change is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownCause {
    /// Calls to the key-value service failed or timed out.
    ServiceDown,
    /// Another writer was first in each swap.
    Contention,
    /// The stored version is lower than the one in force on this host: the
    /// key-value service has lost accepted changes.
    StoreBehind,
    /// The base is older than the history, which may no longer contain an
    /// earlier attempt with this identifier.
    BeyondHistory,
}

/// Writes one change to the key-value service.
#[derive(Clone, Debug)]
pub struct ChangeWriter {
    change: Change,
    now_ms: u64,
    min_version: u64,
    failed_calls: u32,
    mismatches: u32,
    pending_swap: Option<(Box<AcceptedConfig>, Vec<Finding>)>,
}

impl ChangeWriter {
    /// Creates a writer. `now_ms` is recorded as
    /// [`AcceptedChange::at_ms`](super::AcceptedChange::at_ms).
    #[must_use]
    pub fn new(change: Change, now_ms: u64) -> Self {
        Self { change, now_ms, min_version: 0, failed_calls: 0, mismatches: 0, pending_swap: None }
    }

    /// Sets the lowest stored version to write on, the version in force on this
    /// host. The outcome is unknown if the stored one is lower.
    #[must_use]
    pub fn with_min_version(mut self, min_version: u64) -> Self {
        self.min_version = min_version;
        self
    }

    /// Returns the first step.
    #[must_use]
    pub fn start(&self) -> WriterStep {
        WriterStep::Read { after_failure: false }
    }

    /// Returns the step after a read. `read` is none if the call failed.
    pub fn on_read(&mut self, read: Option<StoredConfig>) -> WriterStep {
        let Some(StoredConfig { accepted, revision }) = read else { return self.on_failure() };
        if accepted.version() < self.min_version {
            return self.unknown_outcome(UnknownCause::StoreBehind);
        }
        match accepted.propose(&self.change, self.now_ms) {
            ProposalOutcome::Next { next, warnings } => {
                self.pending_swap = Some((next.clone(), warnings));
                WriterStep::Swap { expected: revision, next }
            }
            ProposalOutcome::Duplicate(version) | ProposalOutcome::Unchanged(version) => {
                let newest = Box::new(accepted);
                let warnings = Vec::new();
                WriterStep::Done(ChangeOutcome::Accepted { version, warnings, newest })
            }
            ProposalOutcome::Refused(Refusal::Base { base, oldest, .. }) if base < oldest => {
                self.unknown_outcome(UnknownCause::BeyondHistory)
            }
            ProposalOutcome::Refused(refusal) => WriterStep::Done(ChangeOutcome::Refused(refusal)),
        }
    }

    /// Returns the step after a swap.
    pub fn on_swap(&mut self, reply: SwapReply) -> WriterStep {
        match (reply, self.pending_swap.take()) {
            (SwapReply::Written, Some((newest, warnings))) => {
                let version = newest.version();
                WriterStep::Done(ChangeOutcome::Accepted { version, warnings, newest })
            }
            (SwapReply::Mismatch, _) if self.mismatches < MAX_MISMATCHES => {
                self.mismatches += 1;
                WriterStep::Read { after_failure: false }
            }
            (SwapReply::Mismatch, _) => self.unknown_outcome(UnknownCause::Contention),
            (SwapReply::Failed, _) | (SwapReply::Written, None) => self.on_failure(),
        }
    }

    fn on_failure(&mut self) -> WriterStep {
        self.failed_calls += 1;
        if self.failed_calls > MAX_FAILED_CALLS {
            return self.unknown_outcome(UnknownCause::ServiceDown);
        }
        WriterStep::Read { after_failure: true }
    }

    fn unknown_outcome(&self, cause: UnknownCause) -> WriterStep {
        WriterStep::Done(ChangeOutcome::Unknown { id: self.change.id, cause })
    }
}

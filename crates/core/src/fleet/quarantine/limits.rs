//! Numbers of crashes that quarantine a suspect.

use crate::fleet::Suspect;

/// Numbers of crashes that quarantine a suspect.
///
/// A part of prompts is near the crashes of all requests that share it. A whole request is
/// repeated by few callers, and each of its crashes takes a runner away from all others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct CrashLimits {
    /// If it has had no complete response.
    pub(super) unproven: usize,
    /// If it has had one before.
    pub(super) proven: usize,
}

const PART: CrashLimits = CrashLimits { unproven: 5, proven: 7 };

const REQUEST: CrashLimits = CrashLimits { unproven: 3, proven: 4 };

impl CrashLimits {
    pub(super) fn of(suspect: Suspect) -> Self {
        match suspect {
            Suspect::Part(_) => PART,
            Suspect::Request(_) => REQUEST,
        }
    }
}

//! Requests with the values by which the pool owner ranks them.

use std::time::Duration;

use crate::{
    request::{RequestRecord, Target},
    time::MonoTime,
};

use super::{estimate::WORK_PER_DECODE_TOKEN, runner::RunnerIx};

/// Prompts of at least this many tokens count as long. A runner gets no long
/// prompt while another one is pending there.
pub(super) const LONG_PREFILL_TOKENS: u32 = 4_096;

/// Length class of a prompt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LengthClass {
    /// Below the threshold of long prompts.
    Short,
    /// At or above the threshold of long prompts.
    Long,
}

impl LengthClass {
    /// Both length classes.
    pub const ALL: [Self; 2] = [Self::Short, Self::Long];

    /// Returns the class of a prompt with this many tokens to prefill.
    #[must_use]
    pub fn of(prefill_tokens: u32) -> Self {
        if prefill_tokens >= LONG_PREFILL_TOKENS { Self::Long } else { Self::Short }
    }
}

/// Deferral of a request for the runner that caches its prefix.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deferral {
    pub(super) runner: RunnerIx,
    pub(super) until: MonoTime,
}

/// A request with the values that the pool computed on submission.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) record: RequestRecord,
    pub(super) length: LengthClass,
    /// Order of submission.
    pub(super) arrival: u64,
    /// When the target is missed.
    pub(super) deadline: MonoTime,
    /// Latest start on an average runner. Orders the requests of a workspace.
    pub(super) latest_start: MonoTime,
    /// Latest start on the fastest runner. A request that still waits then is
    /// refused.
    pub(super) unreachable_at: MonoTime,
    pub(super) decode_tokens: u32,
    /// Margin for responses longer than `decode_tokens`.
    pub(super) decode_margin: u32,
    pub(super) returned_grants: u8,
    /// Set while the request is deferred.
    pub(super) deferral: Option<Deferral>,
}

impl Request {
    /// Returns the work in prefill-token equivalents.
    pub(super) fn work(&self) -> u64 {
        let decode = u64::from(self.decode_tokens) * WORK_PER_DECODE_TOKEN;
        1 + u64::from(self.record.prefill_tokens) + decode
    }

    /// Returns the cache tokens that the request holds at its end.
    pub(super) fn cache_tokens(&self) -> u64 {
        u64::from(self.record.prefill_tokens) + u64::from(self.decode_tokens)
    }

    /// Returns the decode tokens whose time counts towards the target,
    /// including the margin for longer responses.
    pub(super) fn target_decode_tokens(&self) -> u32 {
        match self.record.target {
            Target::Stream { .. } => 0,
            Target::Whole(_) => self.decode_tokens + self.decode_margin,
        }
    }

    /// Returns the target for the time between tokens, if there is one.
    pub(super) fn between_tokens(&self) -> Option<Duration> {
        match self.record.target {
            Target::Stream { between_tokens, .. } => Some(between_tokens),
            Target::Whole(_) => None,
        }
    }
}

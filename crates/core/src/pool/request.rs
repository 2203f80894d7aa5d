//! A request as the pool owner ranks it.

use std::time::Duration;

use crate::{
    request::{RequestRecord, Target},
    time::MonoTime,
};

use super::{estimate::WORK_PER_DECODE_TOKEN, runner::RunnerIx};

/// Prompts of at least this many tokens use the separate budget for long
/// prefill.
pub(super) const LONG_PREFILL_TOKENS: u32 = 4_096;

/// Length class of a prompt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LengthClass {
    /// Shorter than the limit for long prefill.
    Short,
    /// At least as long as the limit for long prefill.
    Long,
}

impl LengthClass {
    /// Both length classes.
    pub const ALL: [Self; 2] = [Self::Short, Self::Long];

    /// The class of a prompt.
    #[must_use]
    pub fn of(prefill_tokens: u32) -> Self {
        if prefill_tokens >= LONG_PREFILL_TOKENS { Self::Long } else { Self::Short }
    }
}

/// A request is held for a runner that has its prefix.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    pub(super) runner: RunnerIx,
    pub(super) until: MonoTime,
}

/// A request with what the pool worked out when it was submitted.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) record: RequestRecord,
    pub(super) length: LengthClass,
    /// Order of submission.
    pub(super) sequence: u64,
    /// When the target ends.
    pub(super) deadline: MonoTime,
    /// Latest start on an average runner; the rank within a workspace.
    pub(super) latest_start: MonoTime,
    /// Latest start on the fastest runner; later than this the request is
    /// refused.
    pub(super) unreachable_at: MonoTime,
    pub(super) decode_tokens: u32,
    /// Tokens by which longer answers than usual exceed `decode_tokens`.
    pub(super) decode_margin: u32,
    pub(super) returned_grants: u8,
    /// The runner that the request is held for, and until when.
    pub(super) hold: Option<Hold>,
}

impl Request {
    /// Work in prefill-token equivalents.
    pub(super) fn work(&self) -> u64 {
        let decode = u64::from(self.decode_tokens) * WORK_PER_DECODE_TOKEN;
        1 + u64::from(self.record.prefill_tokens) + decode
    }

    /// Cache tokens that the request holds at its end.
    pub(super) fn cache_tokens(&self) -> u64 {
        u64::from(self.record.prefill_tokens) + u64::from(self.decode_tokens)
    }

    /// Decode tokens whose time counts towards the target, longer answers than
    /// usual included.
    pub(super) fn target_decode_tokens(&self) -> u32 {
        match self.record.target {
            Target::Stream { .. } => 0,
            Target::Whole(_) => self.decode_tokens + self.decode_margin,
        }
    }

    /// Longest time between tokens, if the target has one.
    pub(super) fn between_tokens(&self) -> Option<Duration> {
        match self.record.target {
            Target::Stream { between_tokens, .. } => Some(between_tokens),
            Target::Whole(_) => None,
        }
    }
}

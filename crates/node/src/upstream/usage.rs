//! Token counts of an engine's answer.

use comfreyway_proto::caller::{ChatAnswer, TokenUsage};

/// Token counts of an engine's answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct AnswerUsage {
    /// Prompt tokens, if the engine told them.
    pub(crate) prefill_tokens: Option<u32>,
    /// Prompt tokens taken from the cache.
    pub(crate) cached_tokens: u32,
    /// Generated tokens, if the engine told them.
    pub(crate) decode_tokens: Option<u32>,
}

impl AnswerUsage {
    /// Reads the counts from an answer or a chunk; none if it has no counts.
    pub(crate) fn parse(json: &[u8]) -> Option<Self> {
        let answer: ChatAnswer = serde_json::from_slice(json).ok()?;
        answer.usage.map(Self::from)
    }
}

impl From<TokenUsage> for AnswerUsage {
    fn from(usage: TokenUsage) -> Self {
        let details = usage.prompt_tokens_details;
        Self {
            prefill_tokens: usage.prompt_tokens,
            cached_tokens: details.and_then(|details| details.cached_tokens).unwrap_or(0),
            decode_tokens: usage.completion_tokens,
        }
    }
}

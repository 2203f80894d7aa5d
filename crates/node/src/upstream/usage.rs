//! Token usage reported by an engine.

use comfreyway_proto::caller::{ChatAnswer, TokenUsage};

/// Token usage reported by an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ResponseUsage {
    /// Prompt tokens, if reported.
    pub(crate) prefill_tokens: Option<u32>,
    /// Prompt tokens served from the cache.
    pub(crate) cached_tokens: u32,
    /// Generated tokens, if reported.
    pub(crate) decode_tokens: Option<u32>,
}

impl ResponseUsage {
    /// Parses the token usage of a response or a chunk. Returns `None` if it
    /// has none.
    pub(crate) fn parse(json: &[u8]) -> Option<Self> {
        let response: ChatAnswer = serde_json::from_slice(json).ok()?;
        response.usage.map(Self::from)
    }
}

impl From<TokenUsage> for ResponseUsage {
    fn from(usage: TokenUsage) -> Self {
        let details = usage.prompt_tokens_details;
        Self {
            prefill_tokens: usage.prompt_tokens,
            cached_tokens: details.and_then(|details| details.cached_tokens).unwrap_or(0),
            decode_tokens: usage.completion_tokens,
        }
    }
}

//! The wire types of chat completions, as far as an engine needs them.

use comfreyway_core::prompt::{block_hashes, token_count};
use serde::Deserialize;

/// Number of tokens that an engine generates if the request sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// One message of a prompt.
#[derive(Debug, Deserialize)]
pub(super) struct Message {
    role: String,
    content: String,
}

/// Body of a chat completion request.
#[derive(Debug, Deserialize)]
pub(super) struct ChatRequest {
    pub(super) model: String,
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    pub(super) stream: bool,
}

/// Token count, block hashes and digest of a prompt.
#[derive(Clone, Debug)]
pub(super) struct Prompt {
    pub(super) tokens: u32,
    pub(super) blocks: Vec<u64>,
    pub(super) digest: u64,
}

impl ChatRequest {
    pub(super) fn max_tokens(&self) -> u32 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS)
    }

    pub(super) fn prompt(&self) -> Prompt {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push('\n');
            text.push_str(&message.content);
            text.push('\n');
        }
        let digest = blake3::hash(text.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&digest.as_bytes()[..8]);
        Prompt {
            tokens: token_count(&text),
            blocks: block_hashes(&text).into_iter().map(|hash| hash.0).collect(),
            digest: u64::from_be_bytes(first),
        }
    }
}

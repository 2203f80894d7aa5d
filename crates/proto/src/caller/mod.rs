//! Border types of the callers' interface.
//!
//! The types in [`generated`] come from `schema/caller.json`; CONTRIBUTING.md
//! tells how to generate them again. They hold only what the scheduler reads:
//! bodies are forwarded as the caller sent them.

#[allow(missing_docs, reason = "generated")]
pub mod generated;
mod prompt;

pub use self::{
    generated::{
        ChatAnswer, ChatMessage, ChatRequest, ContentPart, MessageContent, Problem, ProblemOutcome,
        TokenUsage,
    },
    prompt::prompt_parts,
};

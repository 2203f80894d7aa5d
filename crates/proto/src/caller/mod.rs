//! Types of the callers' HTTP interface.
//!
//! The types in [`generated`] are generated from `schema/caller.json`;
//! CONTRIBUTING.md has the command. They contain only the fields that the
//! scheduler reads; bodies are forwarded unchanged.

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

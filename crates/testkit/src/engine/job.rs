//! State of one request in an engine.

use tokio::sync::watch;

use super::chat::Prompt;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// All tokens were generated.
    Complete,
    /// The request was cancelled.
    Cancelled,
}

/// What has been generated so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Progress {
    pub(super) tokens: u32,
    pub(super) cached_tokens: u32,
    pub(super) end: Option<End>,
}

/// One request. Its tokens depend on the prompt alone, so that two runs of the
/// same prompt generate the same text and the text needn't be stored.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) model: String,
    pub(super) prompt: Prompt,
    pub(super) max_tokens: u32,
    pub(super) progress: watch::Sender<Progress>,
}

impl Job {
    pub(super) fn new(model: String, prompt: Prompt, max_tokens: u32) -> Self {
        Self { model, prompt, max_tokens, progress: watch::channel(Progress::default()).0 }
    }

    pub(super) fn ended(&self) -> bool {
        self.progress.borrow().end.is_some()
    }

    /// Cancels the request. Returns false if it had already ended.
    pub(super) fn cancel(&self) -> bool {
        self.progress.send_if_modified(|progress| {
            let running = progress.end.is_none();
            if running {
                progress.end = Some(End::Cancelled);
            }
            running
        })
    }

    pub(super) fn start(&self, cached_tokens: u32) {
        self.progress.send_modify(|progress| progress.cached_tokens = cached_tokens);
    }

    /// Generates one token.
    pub(super) fn decode(&self) {
        self.progress.send_if_modified(|progress| {
            if progress.end.is_some() {
                return false;
            }
            progress.tokens = (progress.tokens + 1).min(self.max_tokens);
            if progress.tokens == self.max_tokens {
                progress.end = Some(End::Complete);
            }
            true
        });
    }
}

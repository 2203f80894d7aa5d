//! A gate that blocks work until a test opens it.

use std::sync::Arc;

use tokio::sync::watch;

/// Blocks work while closed. Open at first; clones share the state.
#[derive(Clone, Debug)]
pub struct Gate {
    open: Arc<watch::Sender<bool>>,
}

impl Default for Gate {
    fn default() -> Self {
        Self { open: Arc::new(watch::channel(true).0) }
    }
}

impl Gate {
    /// Blocks all work that reaches the gate.
    pub fn close(&self) {
        self.open.send_replace(false);
    }

    /// Unblocks all work.
    pub fn open(&self) {
        self.open.send_replace(true);
    }

    /// Waits until the gate is open.
    pub async fn wait_until_open(&self) {
        // Never fails: the gate owns the sender.
        let _ = self.open.subscribe().wait_for(|&open| open).await;
    }
}

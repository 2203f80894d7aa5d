//! A gate that holds running work until a test opens it.

use std::sync::Arc;

use tokio::sync::watch;

/// A gate that holds running work. Open at first; clones share it.
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
    /// Holds all work that comes to the gate.
    pub fn close(&self) {
        self.open.send_replace(false);
    }

    /// Lets all work pass.
    pub fn open(&self) {
        self.open.send_replace(true);
    }

    /// Waits until the gate is open.
    pub async fn wait_until_open(&self) {
        // The sender lives as long as this gate.
        let _ = self.open.subscribe().wait_for(|&open| open).await;
    }
}

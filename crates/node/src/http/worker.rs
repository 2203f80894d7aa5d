//! What one worker thread holds.

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::{settings::Limits, upstream::UpstreamClient};

use super::exchange::Exchange;

/// What one worker thread holds: its client, and the way to end exchanges whose
/// caller has left.
pub(crate) struct Worker {
    pub(super) client: UpstreamClient,
    abandoned: UnboundedSender<Box<Exchange>>,
}

impl Worker {
    /// The state of the current thread. Must be called on an arbiter.
    pub(super) fn new(limits: &Limits) -> Self {
        let client = UpstreamClient::new(limits.connect_timeout, limits.upstream_idle_timeout);
        let (abandoned, queue) = unbounded_channel();
        actix_rt::spawn(end_abandoned(queue));
        Self { client, abandoned }
    }

    /// Takes over an exchange whose caller has left.
    pub(super) fn abandon(&self, exchange: Box<Exchange>) {
        // The queue is closed only when the thread ends; then the exchange is
        // dropped, which reports its end.
        let _ = self.abandoned.send(exchange);
    }
}

async fn end_abandoned(mut queue: UnboundedReceiver<Box<Exchange>>) {
    while let Some(exchange) = queue.recv().await {
        actix_rt::spawn(exchange.end_without_caller());
    }
}

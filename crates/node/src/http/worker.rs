//! State of one worker thread.

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::{settings::Limits, upstream::UpstreamClient};

use super::exchange::Exchange;

/// State of one worker thread: its upstream client, and a queue of exchanges to
/// end because their callers disconnected.
pub(crate) struct Worker {
    pub(super) client: UpstreamClient,
    abandoned: UnboundedSender<Box<Exchange>>,
}

impl Worker {
    /// Creates the state of the current thread. Must be called within an actix
    /// arbiter.
    pub(super) fn new(limits: &Limits) -> Self {
        let client = UpstreamClient::new(limits.connect_timeout, limits.upstream_idle_timeout);
        let (abandoned, queue) = unbounded_channel();
        actix_rt::spawn(end_abandoned_exchanges(queue));
        Self { client, abandoned }
    }

    /// Takes over an exchange whose caller has disconnected.
    pub(super) fn abandon(&self, exchange: Box<Exchange>) {
        // Sending fails only when the thread ends. The exchange is then
        // dropped, which reports its outcome.
        let _ = self.abandoned.send(exchange);
    }
}

async fn end_abandoned_exchanges(mut queue: UnboundedReceiver<Box<Exchange>>) {
    while let Some(exchange) = queue.recv().await {
        actix_rt::spawn(exchange.end_without_caller());
    }
}

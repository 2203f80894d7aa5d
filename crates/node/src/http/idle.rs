//! Idle timeout of an upstream response.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::time::{Instant, Sleep};

/// Detects an upstream that sends no data. Receiving data does not reset the
/// timer; it is re-armed only when it fires too early.
#[derive(Debug)]
pub(super) struct IdleTimer {
    limit: Duration,
    last: Instant,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl IdleTimer {
    pub(super) fn new(limit: Duration) -> Self {
        Self { limit, last: Instant::now(), sleep: None }
    }

    /// Records that data has arrived.
    pub(super) fn touch(&mut self) {
        self.last = Instant::now();
    }

    /// Ready once no data has arrived for the whole timeout.
    pub(super) fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let due = self.last + self.limit;
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(due)));
        while sleep.as_mut().poll(cx).is_ready() {
            if sleep.deadline() >= due {
                return Poll::Ready(());
            }
            sleep.as_mut().reset(due);
        }
        Poll::Pending
    }
}

//! Backoff between attempts to connect to a peer.

use std::time::Duration;

const FIRST_WAIT: Duration = Duration::from_millis(50);
const MAX_WAIT: Duration = Duration::from_millis(2_000);

/// Exponential backoff with jitter: each wait is 50 to 100 % of its nominal value,
/// so that hosts that lost a peer at the same time don't reconnect at the same
/// time.
#[derive(Debug)]
pub(super) struct Backoff {
    next: Duration,
}

impl Backoff {
    pub(super) fn new() -> Self {
        Self { next: FIRST_WAIT }
    }

    pub(super) fn reset(&mut self) {
        self.next = FIRST_WAIT;
    }

    pub(super) fn next_wait(&mut self) -> Duration {
        let wait = self.next.mul_f64(rand::random_range(0.5..1.0));
        self.next = (self.next * 2).min(MAX_WAIT);
        wait
    }
}

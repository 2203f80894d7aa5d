//! One direction of a connection.

use std::{
    collections::VecDeque,
    io,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{ReadHalf, WriteHalf},
    sync::watch,
    time::{Instant, sleep_until},
};

use super::{
    Shared,
    rules::{Direction, LinkRule, Rules},
};

/// Largest number of delayed chunks; reading pauses there.
const MAX_DELAYED_CHUNKS: usize = 256;
/// Size of the read buffer.
const READ_BYTES: usize = 16 << 10;
/// HTTP methods that mark the start of a request.
const METHODS: [&str; 6] = ["DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"];
/// A time that no test reaches.
const NEVER: Duration = Duration::from_secs(86_400);

/// Reason why a pump stopped before the end of its stream.
#[derive(Debug)]
pub(super) enum Stop {
    /// The connection is to be closed on both sides.
    Cut,
    /// The target's side is to be closed and the caller's kept.
    HalfOpen,
    /// Both sides are to be kept open without traffic.
    Silent,
}

impl From<io::Error> for Stop {
    fn from(_: io::Error) -> Self {
        Self::Cut
    }
}

/// Forwards the bytes of one direction under its rule.
pub(super) struct Pump<'a> {
    direction: Direction,
    rules: watch::Receiver<Rules>,
    shared: &'a Shared,
    rules_apply: &'a AtomicBool,
    version: u64,
    cuts: u64,
    silences: u64,
    bytes_since_change: u64,
    delayed: VecDeque<(Instant, Bytes)>,
}

impl<'a> Pump<'a> {
    /// Creates the pump of a connection that was accepted under the rules
    /// `accepted`. A later change is applied first. `rules_apply` is shared with
    /// the other direction and is true if the rules apply to this connection.
    pub(super) fn new(
        direction: Direction,
        shared: &'a Shared,
        rules_apply: &'a AtomicBool,
        accepted: Rules,
    ) -> Self {
        let mut rules = shared.rules.subscribe();
        let Rules { version, cuts, silences, .. } = accepted;
        if rules.borrow_and_update().version != version {
            rules.mark_changed();
        }
        let delayed = VecDeque::new();
        Self {
            direction,
            rules,
            shared,
            rules_apply,
            version,
            cuts,
            silences,
            bytes_since_change: 0,
            delayed,
        }
    }

    /// Forwards bytes until the stream ends.
    pub(super) async fn run(
        mut self,
        mut from: ReadHalf<'_>,
        mut to: WriteHalf<'_>,
    ) -> Result<(), Stop> {
        let mut buf = BytesMut::with_capacity(READ_BYTES);
        let mut ended = false;
        loop {
            if ended && self.delayed.is_empty() {
                // Fails if the other side has already closed.
                let _ = to.shutdown().await;
                return Ok(());
            }
            let due = self.delayed.front().map_or_else(|| Instant::now() + NEVER, |(at, _)| *at);
            let reads = !ended && self.delayed.len() < MAX_DELAYED_CHUNKS;
            tokio::select! {
                biased;
                changed = self.rules.changed() => {
                    changed.map_err(|_| Stop::Cut)?;
                    self.apply()?;
                }
                () = sleep_until(due) => {
                    if let Some((_, bytes)) = self.delayed.pop_front() {
                        self.write(&mut to, &bytes).await?;
                    }
                }
                n = from.read_buf(&mut buf), if reads => {
                    ended = n? == 0;
                    let bytes = buf.split().freeze();
                    buf.reserve(READ_BYTES);
                    self.forward(&mut to, bytes).await?;
                }
            }
        }
    }

    /// Applies a change of the rules.
    fn apply(&mut self) -> Result<(), Stop> {
        let rules = *self.rules.borrow_and_update();
        if rules.half_open {
            return Err(Stop::HalfOpen);
        }
        if rules.cuts != self.cuts || rules.stopped {
            return Err(Stop::Cut);
        }
        if rules.silences != self.silences {
            return Err(Stop::Silent);
        }
        if rules.version != self.version {
            self.version = rules.version;
            self.bytes_since_change = 0;
        }
        Ok(())
    }

    async fn forward(&mut self, to: &mut WriteHalf<'_>, bytes: Bytes) -> Result<(), Stop> {
        let rules = *self.rules.borrow();
        self.update_rules_apply(&rules, &bytes);
        let rule = rules.rule(self.direction);
        match rule {
            _ if bytes.is_empty() => Ok(()),
            _ if !self.rules_apply.load(Ordering::Relaxed) => self.write(to, &bytes).await,
            LinkRule::Drop => Ok(()),
            LinkRule::Delay(delay) => {
                self.delayed.push_back((Instant::now() + delay, bytes));
                Ok(())
            }
            LinkRule::CutAfter(limit) => self.write_up_to_limit(to, bytes, limit).await,
            LinkRule::CutOnce(limit) => {
                let result = self.write_up_to_limit(to, bytes, limit).await;
                if result.is_err() {
                    let direction = self.direction;
                    self.shared.rules.send_modify(|rules| rules.reset(direction));
                }
                result
            }
            LinkRule::Pass if self.delayed.is_empty() => self.write(to, &bytes).await,
            // Queues the bytes behind those that are still delayed, to keep the order.
            LinkRule::Pass => {
                self.delayed.push_back((Instant::now(), bytes));
                Ok(())
            }
        }
    }

    /// If a request starts here, records whether it matches the filter.
    fn update_rules_apply(&self, rules: &Rules, bytes: &[u8]) {
        let starts_request = METHODS.iter().any(|method| bytes.starts_with(method.as_bytes()));
        if rules.request_filter.is_empty() {
            self.rules_apply.store(true, Ordering::Relaxed);
        } else if self.direction == Direction::Up && starts_request {
            let matches = bytes.starts_with(rules.request_filter.as_bytes());
            self.rules_apply.store(matches, Ordering::Relaxed);
        }
    }

    async fn write_up_to_limit(
        &mut self,
        to: &mut WriteHalf<'_>,
        mut bytes: Bytes,
        limit: u64,
    ) -> Result<(), Stop> {
        let left = limit.saturating_sub(self.bytes_since_change);
        let left = usize::try_from(left).unwrap_or(usize::MAX);
        let below_limit = bytes.len() < left;
        bytes.truncate(left);
        self.write(to, &bytes).await?;
        if below_limit { Ok(()) } else { Err(Stop::Cut) }
    }

    async fn write(&mut self, to: &mut WriteHalf<'_>, bytes: &Bytes) -> Result<(), Stop> {
        self.bytes_since_change += bytes.len() as u64;
        let forwarded = match self.direction {
            Direction::Up => &self.shared.forwarded_up,
            Direction::Down => &self.shared.forwarded_down,
        };
        // Counts bytes before they are sent, so that a count that is read after a
        // response includes that response.
        forwarded.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        to.write_all(bytes).await?;
        Ok(())
    }
}

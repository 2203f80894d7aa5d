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

/// Chunks that wait for their time before reading stops.
const MAX_DELAYED_CHUNKS: usize = 256;
/// Bytes of one read.
const READ_BYTES: usize = 16 << 10;
/// Starts of requests.
const METHODS: [&str; 6] = ["DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"];
/// A time that is never reached while a test runs.
const NEVER: Duration = Duration::from_secs(86_400);

/// Why a pump stopped before the end of its stream.
#[derive(Debug)]
pub(super) enum Stop {
    /// The connection is to be closed on both sides.
    Cut,
    /// The target's side is to be closed and the caller's kept.
    HalfOpen,
}

impl From<io::Error> for Stop {
    fn from(_: io::Error) -> Self {
        Self::Cut
    }
}

/// Moves the bytes of one direction under its rule.
pub(super) struct Pump<'a> {
    direction: Direction,
    rules: watch::Receiver<Rules>,
    shared: &'a Shared,
    selected: &'a AtomicBool,
    version: u64,
    cuts: u64,
    since_rule: u64,
    delayed: VecDeque<(Instant, Bytes)>,
}

impl<'a> Pump<'a> {
    /// A pump of a connection that was accepted under the rules `accepted`. A
    /// change since then is applied first. `selected` is shared with the other
    /// direction and tells whether the rules hold for this connection.
    pub(super) fn new(
        direction: Direction,
        shared: &'a Shared,
        selected: &'a AtomicBool,
        accepted: Rules,
    ) -> Self {
        let mut rules = shared.rules.subscribe();
        let Rules { version, cuts, .. } = accepted;
        if rules.borrow_and_update().version != version {
            rules.mark_changed();
        }
        let delayed = VecDeque::new();
        Self { direction, rules, shared, selected, version, cuts, since_rule: 0, delayed }
    }

    /// Runs to the end of the stream.
    pub(super) async fn run(
        mut self,
        mut from: ReadHalf<'_>,
        mut to: WriteHalf<'_>,
    ) -> Result<(), Stop> {
        let mut buf = BytesMut::with_capacity(READ_BYTES);
        let mut ended = false;
        loop {
            if ended && self.delayed.is_empty() {
                // The other side may have closed already.
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
                    self.take(&mut to, bytes).await?;
                }
            }
        }
    }

    /// Takes over a change of the rules.
    fn apply(&mut self) -> Result<(), Stop> {
        let rules = *self.rules.borrow_and_update();
        if rules.half_open {
            return Err(Stop::HalfOpen);
        }
        if rules.cuts != self.cuts || rules.stopped {
            return Err(Stop::Cut);
        }
        if rules.version != self.version {
            self.version = rules.version;
            self.since_rule = 0;
        }
        Ok(())
    }

    async fn take(&mut self, to: &mut WriteHalf<'_>, bytes: Bytes) -> Result<(), Stop> {
        let rules = *self.rules.borrow();
        self.select(&rules, &bytes);
        let rule = rules.link(self.direction);
        match rule {
            _ if bytes.is_empty() => Ok(()),
            _ if !self.selected.load(Ordering::Relaxed) => self.write(to, &bytes).await,
            LinkRule::Drop => Ok(()),
            LinkRule::Delay(delay) => {
                self.delayed.push_back((Instant::now() + delay, bytes));
                Ok(())
            }
            LinkRule::CutAfter(limit) => self.write_to_limit(to, bytes, limit).await,
            LinkRule::CutOnce(limit) => {
                let result = self.write_to_limit(to, bytes, limit).await;
                if result.is_err() {
                    let direction = self.direction;
                    self.shared.rules.send_modify(|rules| rules.pass(direction));
                }
                result
            }
            LinkRule::Pass if self.delayed.is_empty() => self.write(to, &bytes).await,
            // Keeps the order behind bytes that are delayed still.
            LinkRule::Pass => {
                self.delayed.push_back((Instant::now(), bytes));
                Ok(())
            }
        }
    }

    /// Notes whether the request that starts here is one that the rules name.
    fn select(&self, rules: &Rules, bytes: &[u8]) {
        let starts_request = METHODS.iter().any(|method| bytes.starts_with(method.as_bytes()));
        if rules.only.is_empty() {
            self.selected.store(true, Ordering::Relaxed);
        } else if self.direction == Direction::Up && starts_request {
            let named = bytes.starts_with(rules.only.as_bytes());
            self.selected.store(named, Ordering::Relaxed);
        }
    }

    async fn write_to_limit(
        &mut self,
        to: &mut WriteHalf<'_>,
        mut bytes: Bytes,
        limit: u64,
    ) -> Result<(), Stop> {
        let left = limit.saturating_sub(self.since_rule);
        let left = usize::try_from(left).unwrap_or(usize::MAX);
        let whole = bytes.len() < left;
        bytes.truncate(left);
        self.write(to, &bytes).await?;
        if whole { Ok(()) } else { Err(Stop::Cut) }
    }

    async fn write(&mut self, to: &mut WriteHalf<'_>, bytes: &Bytes) -> Result<(), Stop> {
        self.since_rule += bytes.len() as u64;
        let forwarded = match self.direction {
            Direction::Up => &self.shared.forwarded_up,
            Direction::Down => &self.shared.forwarded_down,
        };
        // Counted before its receiver can have it, so that a count that is read
        // after an answer includes that answer.
        forwarded.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        to.write_all(bytes).await?;
        Ok(())
    }
}

//! Rules for connections and their bytes.

use std::{net::SocketAddr, time::Duration};

/// Rule for the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkRule {
    /// Forwards the bytes.
    #[default]
    Pass,
    /// Forwards the bytes after this time.
    Delay(Duration),
    /// Forwards this many bytes on each connection, counted from the last change
    /// of any rule, then closes the connection on both sides.
    CutAfter(u64),
    /// Like [`Self::CutAfter`] for the first connection that reaches the limit;
    /// then the rule changes to [`Self::Pass`].
    CutOnce(u64),
    /// Discards the bytes and keeps the connection open.
    Drop,
}

/// Rule for new connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AcceptRule {
    /// Connects to the target.
    #[default]
    Forward,
    /// Refuses the connection: the proxy does not listen.
    Refuse,
    /// Accepts the connection and never forwards or sends anything.
    BlackHole,
}

/// All rules that are in effect.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rules {
    pub(super) target: SocketAddr,
    pub(super) accept: AcceptRule,
    pub(super) up: LinkRule,
    pub(super) down: LinkRule,
    /// Prefix of the requests whose connections the rules apply to; empty for all.
    pub(super) request_filter: &'static str,
    /// Increased with each change, to restart the counts of [`LinkRule::CutAfter`].
    pub(super) version: u64,
    /// Increased to close all connections.
    pub(super) cuts: u64,
    /// True if the target's side of each connection is closed and the caller's
    /// side is kept open.
    pub(super) half_open: bool,
    /// Increased to silence all connections.
    pub(super) silences: u64,
    /// Connections of this silence and those before it are reset once they are used.
    pub(super) resets: u64,
    pub(super) stopped: bool,
}

impl Rules {
    pub(super) fn new(target: SocketAddr) -> Self {
        Self {
            target,
            accept: AcceptRule::default(),
            up: LinkRule::default(),
            down: LinkRule::default(),
            request_filter: "",
            version: 0,
            cuts: 0,
            half_open: false,
            silences: 0,
            resets: 0,
            stopped: false,
        }
    }

    pub(super) fn rule(&self, direction: Direction) -> LinkRule {
        match direction {
            Direction::Up => self.up,
            Direction::Down => self.down,
        }
    }

    pub(super) fn reset(&mut self, direction: Direction) {
        match direction {
            Direction::Up => self.up = LinkRule::Pass,
            Direction::Down => self.down = LinkRule::Pass,
        }
    }
}

/// Direction of traffic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the caller to the target.
    Up,
    /// From the target to the caller.
    Down,
}

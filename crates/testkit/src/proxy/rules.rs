//! What the proxy does to its connections.

use std::{net::SocketAddr, time::Duration};

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkRule {
    /// They pass.
    #[default]
    Pass,
    /// They pass after this time.
    Delay(Duration),
    /// This many pass on each connection, counted from the moment that the rule
    /// was set; then the connection is closed on both sides.
    CutAfter(u64),
    /// As [`Self::CutAfter`] for the first connection that has carried so many;
    /// after that the bytes of all connections pass.
    CutOnce(u64),
    /// They are swallowed, and the connection stays open.
    Drop,
}

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AcceptRule {
    /// It is connected to the target.
    #[default]
    Forward,
    /// It is refused: nothing listens.
    Refuse,
    /// It is accepted, and nothing is ever forwarded or answered.
    BlackHole,
}

/// Everything that is in force.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rules {
    pub(super) target: SocketAddr,
    pub(super) accept: AcceptRule,
    pub(super) up: LinkRule,
    pub(super) down: LinkRule,
    /// Start of the requests whose connections the rules hold for.
    pub(super) only: &'static str,
    /// Raised to restart the counts of [`LinkRule::CutAfter`].
    pub(super) version: u64,
    /// Raised to close all connections.
    pub(super) cuts: u64,
    /// True while the target's side of each connection is closed and the
    /// caller's side is kept open.
    pub(super) half_open: bool,
    pub(super) stopped: bool,
}

impl Rules {
    pub(super) fn new(target: SocketAddr) -> Self {
        Self {
            target,
            accept: AcceptRule::default(),
            up: LinkRule::default(),
            down: LinkRule::default(),
            only: "",
            version: 0,
            cuts: 0,
            half_open: false,
            stopped: false,
        }
    }

    pub(super) fn link(&self, direction: Direction) -> LinkRule {
        match direction {
            Direction::Up => self.up,
            Direction::Down => self.down,
        }
    }

    pub(super) fn pass(&mut self, direction: Direction) {
        match direction {
            Direction::Up => self.up = LinkRule::Pass,
            Direction::Down => self.down = LinkRule::Pass,
        }
    }
}

/// Direction of bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the caller to the target.
    Up,
    /// From the target to the caller.
    Down,
}

//! Sessions between daemons.
//!
//! Every daemon dials its peers, sends on the sessions that it dialled, and
//! receives on the sessions that it accepted. A pair of daemons therefore needs
//! no rule for which of two simultaneous connections to keep, and a partition in
//! one direction is detected by the side that can't send. A daemon that accepts a
//! session from an unknown peer dials the address in the peer's hello message.
//!
//! - [`PeersHandle`] sends messages and holds the sessions.
//! - `dial` and `accept` run the sessions of either direction.
//! - [`PeerEvent`] is what the control thread receives.
//!
//! A connection to the path of recorded responses is not a session; it is passed
//! on as a [`ResultConnection`].
//!
//! Everything here runs on the control thread's runtime. Queues and frames are
//! bounded: the session with a peer that does not drain its queue is closed, and
//! the sender restarts from a known state when the peer is up again.

mod accept;
mod backoff;
mod counters;
mod dial;
mod error;
mod event;
mod handle;
mod metrics;
mod result_connection;
mod settings;
mod socket;
mod start;

pub use self::{
    counters::{PeerTraffic, TrafficKey},
    event::PeerEvent,
    handle::PeersHandle,
    metrics::PeerMetrics,
    result_connection::ResultConnection,
    settings::PeersSettings,
    start::start_peers,
};

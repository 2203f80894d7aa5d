//! Sessions between daemons.
//!
//! Every daemon dials its peers and sends on the sessions that it dialled; it
//! receives on the sessions that it accepted. A pair of daemons therefore needs
//! no rule for which of two simultaneous connections to keep, and a partition in
//! one direction is seen by the side that can't send. A daemon that accepts a
//! session from an unknown peer dials it back at the address in its greeting.
//!
//! - [`PeersHandle`] sends messages and holds the links.
//! - `dial` and `accept` run one session each.
//! - [`PeerEvent`] is what the control thread hears.
//!
//! A session at the path of kept answers is not one of these: it is passed on as a
//! [`ResultConnection`].
//!
//! Everything here runs on the control thread's runtime. Queues and frames are
//! bounded: a peer that does not drain its queue loses its link, and the sender
//! starts again from a known state when the link is up again.

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

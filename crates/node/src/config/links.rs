//! The way to the peers.

use comfreyway_core::ids::HostName;
use comfreyway_proto::peer::ConfigMessage;

/// Sends messages on the configuration to peers.
pub trait ConfigLinks {
    /// Sends a message. A message that can't be sent is dropped; announcements
    /// in turn make up for it.
    fn send(&self, to: &HostName, message: ConfigMessage);
}

/// Links of a host without peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoLinks;

impl ConfigLinks for NoLinks {
    fn send(&self, _: &HostName, _: ConfigMessage) {}
}

//! Messages between this host's decisions and those of its peers.

use actix::{Context, StreamHandler};
use comfreyway_core::{
    ids::{HostId, RequestId},
    outcome::UnknownReason,
};
use comfreyway_proto::peer::PeerMessage;

use crate::peers::PeerEvent;

use super::{Control, Decision};

impl Control {
    /// Sends a message. One that can't be sent is dropped: entry and owner start
    /// again from a known state when the link is up again.
    pub(super) fn send(&self, to: &HostId, message: &PeerMessage) {
        if let Some(peers) = &self.peers {
            peers.send(&to.name, message);
        }
    }

    /// Lets a worker fetch the answer of an earlier request from its holder.
    pub(super) fn attach_remote(&mut self, id: RequestId, first: RequestId, holder: &HostId) {
        let address = self.peers.as_ref().and_then(|peers| peers.address(&holder.name));
        let decision = match address {
            Some(address) => Decision::Attach { id: first, holder: Some(address) },
            None => Decision::Unknown { reason: UnknownReason::HolderGone },
        };
        self.decide(id, decision);
    }
}

impl StreamHandler<PeerEvent> for Control {
    fn handle(&mut self, event: PeerEvent, cx: &mut Context<Self>) {
        let now = self.clock.now();
        match event {
            PeerEvent::Up { .. } => {}
            PeerEvent::Down { host } => {
                self.decisions.peer_down(now, &host, &mut self.effects);
            }
            PeerEvent::Message { from, message } => {
                self.decisions.peer_message(now, from, message, &mut self.effects);
            }
        }
        self.run_effects(cx);
    }

    fn finished(&mut self, _: &mut Context<Self>) {}
}

//! Messages between the control threads of peers.

use actix::{Context, StreamHandler};
use comfreyway_core::{
    cluster::ClusterInput,
    ids::{HostId, RequestId},
    outcome::UnknownReason,
};
use comfreyway_proto::peer::{HandOver, PeerMessage};

use crate::peers::PeerEvent;

use super::{ControlActor, Decision};

impl ControlActor {
    /// Sends a message. A message that can't be sent is dropped: entry and owner
    /// restart from a known state when the peer is up again.
    pub(super) fn send(&self, to: &HostId, message: &PeerMessage) {
        if let Some(peers) = &self.peers {
            peers.send(&to.name, message);
        }
    }

    /// Sends a message to one peer, or to every peer with a session.
    pub(super) fn send_to(&self, to: Option<&HostId>, message: &PeerMessage) {
        match to {
            Some(host) => self.send(host, message),
            None => {
                let connected = self.peers.iter().flat_map(|peers| peers.connected_peers());
                connected.for_each(|(host, _)| self.send(&host, message));
            }
        }
    }

    fn peer_message(&mut self, from: HostId, message: PeerMessage, cx: &mut Context<Self>) {
        match message {
            PeerMessage::Announce(announcement) => {
                self.cluster_input(ClusterInput::Announced(announcement), cx)
            }
            PeerMessage::HandOver(HandOver { pool, epoch }) => {
                self.cluster_input(ClusterInput::HandOver { pool, epoch }, cx);
            }
            PeerMessage::Leaving => self.cluster_input(ClusterInput::PeerLeaving(from), cx),
            message => {
                let now = self.clock.now();
                self.decisions.peer_message(now, from, message, &mut self.effects);
            }
        }
    }

    /// Sends a worker the decision to read the recorded response of an earlier request
    /// from its holder.
    pub(super) fn attach_remote(&mut self, id: RequestId, first: RequestId, holder: &HostId) {
        let address = self.peers.as_ref().and_then(|peers| peers.address(&holder.name));
        let decision = match address {
            Some(address) => Decision::Attach { id: first, holder: Some(address) },
            None => Decision::Unknown { reason: UnknownReason::HolderGone },
        };
        self.send_final_decision(id, decision);
    }
}

impl StreamHandler<PeerEvent> for ControlActor {
    fn handle(&mut self, event: PeerEvent, cx: &mut Context<Self>) {
        match event {
            PeerEvent::Up { host, .. } => {
                self.decisions.peer_up(self.clock.now(), &host, &mut self.effects);
                self.cluster_input(ClusterInput::PeerUp(host), cx);
            }
            PeerEvent::Down { host } => {
                self.decisions.peer_down(self.clock.now(), &host, &mut self.effects);
                self.cluster_input(ClusterInput::PeerDown(host), cx);
            }
            PeerEvent::Message { from, message } => self.peer_message(from, message, cx),
        }
        self.run_effects(cx);
    }

    fn finished(&mut self, _: &mut Context<Self>) {}
}

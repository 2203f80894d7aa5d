//! Messages to [`ConfigActor`] and their handlers.

use std::sync::Arc;

use actix::{
    ActorContext, ActorFutureExt, Context, Handler, Message, ResponseActFuture, WrapFuture,
};
use comfreyway_core::{
    config::{AcceptedConfig, Change, ChangeOutcome, sync::SyncInput},
    ids::HostName,
};
use comfreyway_proto::peer::ConfigMessage;

use crate::control::incarnation_now;

use super::{ConfigActor, audit::log_outcome, wire::from_wire, write::write_change};

/// An event of a peer that concerns the configuration.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum ConfigPeerEvent {
    /// Messages can be sent to the peer.
    Up(HostName),
    /// The peer is down.
    Down(HostName),
    /// The peer sent a message.
    Message {
        /// The sender.
        from: HostName,
        /// Its message.
        message: ConfigMessage,
    },
}

/// Writes a change.
#[derive(Message)]
#[rtype(result = "ChangeOutcome")]
pub(super) struct SubmitChange(pub(super) Change);

/// Reads the key-value service now. The result is true if the read succeeded.
#[derive(Message)]
#[rtype(result = "bool")]
pub(super) struct Refresh;

/// Stops the actor.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Stop;

impl Handler<ConfigPeerEvent> for ConfigActor {
    type Result = ();

    fn handle(&mut self, event: ConfigPeerEvent, cx: &mut Context<Self>) {
        match event {
            ConfigPeerEvent::Up(peer) => self.handle_input(SyncInput::PeerUp(peer), cx),
            ConfigPeerEvent::Down(peer) => self.handle_input(SyncInput::PeerDown(peer), cx),
            ConfigPeerEvent::Message { from, message } => {
                if let Ok(Some(message)) = from_wire(message) {
                    self.handle_input(SyncInput::Message { from, message }, cx);
                }
            }
        }
    }
}

impl Handler<Refresh> for ConfigActor {
    type Result = ResponseActFuture<Self, bool>;

    fn handle(&mut self, _: Refresh, _: &mut Context<Self>) -> Self::Result {
        let store = self.store.clone();
        let read = async move { store.read().await }.into_actor(self);
        Box::pin(read.map(|read, actor, cx| actor.handle_read(read, cx)))
    }
}

impl Handler<Stop> for ConfigActor {
    type Result = ();

    fn handle(&mut self, _: Stop, cx: &mut Context<Self>) {
        cx.stop();
    }
}

impl Handler<SubmitChange> for ConfigActor {
    type Result = ResponseActFuture<Self, ChangeOutcome>;

    fn handle(
        &mut self,
        SubmitChange(change): SubmitChange,
        _: &mut Context<Self>,
    ) -> Self::Result {
        let (store, write_lock) = (self.store.clone(), self.write_lock.clone());
        let now_ms = incarnation_now() / 1_000;
        let min_version = self.in_force().version();
        let write = async move {
            let outcome =
                write_change(&store, &write_lock, change.clone(), now_ms, min_version).await;
            log_outcome(&change, &outcome);
            outcome
        };
        Box::pin(write.into_actor(self).map(|outcome, actor, cx| {
            if let ChangeOutcome::Accepted { newest, .. } = &outcome {
                actor.handle_input(SyncInput::Stored(Arc::new(AcceptedConfig::clone(newest))), cx);
            }
            outcome
        }))
    }
}

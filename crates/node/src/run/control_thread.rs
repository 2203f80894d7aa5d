//! Starts the control thread and its actors.

use std::{collections::BTreeSet, net::TcpListener, rc::Rc};

use actix::Actor;
use actix_rt::Arbiter;
use comfreyway_core::ids::HostId;
use tokio::sync::{
    mpsc::{UnboundedReceiver, unbounded_channel},
    oneshot,
};

use crate::{
    config::{ConfigActor, ConfigHandle, split_peer_events},
    control::{ControlActor, ControlHandle},
    fleet::FleetPlatform,
    peers::{PeerMetrics, PeersSettings, ResultConnection, start_peers},
    settings::{Secret, Settings},
};

use super::{
    RunError,
    platform::{host_list, key_value},
};

/// Handles of the control thread for other threads.
pub(crate) struct ControlThread {
    /// Handle of the scheduling decisions.
    pub(crate) control: ControlHandle,
    /// Handle of the configuration.
    pub(crate) config: ConfigHandle,
    /// Connections of peers that request recordings.
    pub(crate) results: UnboundedReceiver<ResultConnection>,
}

impl ControlThread {
    /// Starts the control thread with its actors and the sessions with peers.
    pub(crate) async fn start(
        host: HostId,
        settings: &Settings,
        platform: FleetPlatform,
        peers_listener: TcpListener,
        peer_metrics: PeerMetrics,
    ) -> Result<Self, RunError> {
        let platform_settings = settings.platform.clone();
        let (results_tx, results) = unbounded_channel();
        let peers_settings = peers_settings(&host, settings, &peers_listener)?
            .with_result_connections(results_tx)
            .with_metrics(peer_metrics);
        let names: BTreeSet<_> = settings.peers.keys().cloned().collect();
        peers_listener.set_nonblocking(true)?;
        let (tx, queue) = unbounded_channel();
        let (started, config) = oneshot::channel();
        Arbiter::new().spawn_fn(move || {
            let key_value = key_value(&platform_settings, platform);
            let name = host.name.clone();
            let Ok(listener) = tokio::net::TcpListener::from_std(peers_listener) else { return };
            let (peers, events) = start_peers(peers_settings, listener);
            let config =
                ConfigActor::start_on_control(name, key_value.clone(), Rc::new(peers.clone()));
            let events = split_peer_events(events, config.clone());
            let control = ControlActor::new(host, config.document(), queue)
                .with_key_value(key_value, names)
                .with_peers(peers, events);
            match host_list(&platform_settings, platform) {
                Some(list) => control.with_host_list(list).start(),
                None => control.start(),
            };
            // A closed channel means that the start was abandoned.
            let _ = started.send(config);
        });
        let config = config.await.map_err(|_| RunError::ControlThread)?;
        Ok(Self { control: ControlHandle::new(tx), config, results })
    }
}

fn peers_settings(
    host: &HostId,
    settings: &Settings,
    listener: &TcpListener,
) -> Result<PeersSettings, RunError> {
    let secret = settings.secret.clone().unwrap_or_else(|| Secret::new(""));
    let others = settings.peers.iter().filter(|(name, _)| **name != settings.name);
    let addresses = others.map(|(_, address)| *address).collect();
    let address = listener.local_addr()?;
    Ok(PeersSettings::new(host.clone(), address, secret).with_static_peers(addresses))
}

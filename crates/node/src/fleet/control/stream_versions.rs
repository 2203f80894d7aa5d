//! The versions of streams, shared with other hosts.
//!
//! The coordinator knows the streams that it granted, each host its own. While several
//! versions serve in an upstream, the coordinator copies what it knows to a few client
//! hosts, since its own streams end with it. A host tells each coordinator all that it
//! knows before it submits a request there.

use comfreyway_core::{
    fleet::StreamRecord,
    ids::{HostId, RequestId},
    time::MonoTime,
};

use crate::{
    events::{Event, Optional, log_event},
    fleet::wire::{PROTOCOL_STREAMS, ToCoordinator, ToHost},
};

use super::FleetControl;

/// Number of client hosts that keep copies of what the coordinator knows.
const COPIES: usize = 2;

/// Maximum number of streams in one message.
const MAX_STREAMS_PER_MESSAGE: usize = 2_000;

impl FleetControl {
    /// Records that the store's view, with all runners, was the newest at this time.
    pub(super) fn set_verified(&mut self, at: MonoTime) {
        if !self.config_readable || self.host_state.config().is_none() {
            return;
        }
        self.host_state.set_verified(at);
        let (now, mut replies) = (self.now(), Vec::new());
        self.coordinator.set_verified(now, at, &mut replies);
        self.execute(Vec::new(), replies);
    }

    /// Records the stream of an own request, of which the first event arrived.
    pub(super) fn record_own_stream(&mut self, id: RequestId) {
        if let Some(record) = self.coordinator_client.stream_record(id) {
            self.learn_streams(vec![record]);
        }
    }

    /// Adds what another host knows of streams.
    pub(super) fn learn_streams(&mut self, records: Vec<StreamRecord>) {
        let (now, mut replies) = (self.now(), Vec::new());
        self.coordinator.learn_streams(now, records, &mut replies);
        self.execute(Vec::new(), replies);
    }

    /// Sends the next coordinator all that this host knows of streams.
    pub(super) fn report_streams(&mut self, host: &HostId) {
        if self.coordinator_protocol() < PROTOCOL_STREAMS {
            return;
        }
        let records: Vec<_> = self.coordinator.known_streams(self.now()).collect();
        for records in records.chunks(MAX_STREAMS_PER_MESSAGE) {
            self.send_to_coordinator(host, ToCoordinator::Streams(records.to_vec()));
        }
    }

    /// Copies what this coordinator knows of streams to client hosts while several
    /// versions serve: all to a host that has no copy yet, then what is new.
    pub(super) fn copy_streams(&mut self) {
        let now = self.now();
        for (upstream, version) in self.coordinator.expire_versions(now) {
            log_event!(
                Event::VersionExpired,
                upstream:% = upstream,
                version:% = Optional(version.as_ref())
            );
        }
        let new = self.coordinator.take_new_streams();
        let is_mixed = self.coordinator.version_histories().any(|(_, h)| h.is_mixed(now));
        let is_client = self.coordinator_client.coordinator().is_some();
        let mut holders = Vec::new();
        if is_mixed && !is_client {
            let clients = self.clients.iter();
            let able = clients.filter(|(_, client)| client.protocol >= PROTOCOL_STREAMS);
            holders.extend(able.map(|(host, _)| host.clone()).take(COPIES));
        }
        if is_mixed && !is_client && self.mirror.revision().0 > 0 {
            self.unstored_streams.add(&new);
            // Not at the start: what this host knows of a mixture is in the store.
            let begins = self.was_mixed.replace(true) == Some(false);
            let is_lost = self.unstored_streams.enter_era(self.store_era);
            if begins || is_lost {
                let known: Vec<_> = self.coordinator.known_streams(now).collect();
                self.unstored_streams.clear();
                self.unstored_streams.add(&known);
            }
            self.store_streams();
        } else {
            self.unstored_streams.clear();
            self.was_mixed = Some(is_mixed);
        }
        let former = std::mem::replace(&mut self.copy_holders, holders.clone());
        for host in holders {
            let records: Vec<_> = match former.contains(&host) {
                true => new.clone(),
                false => self.coordinator.known_streams(now).collect(),
            };
            if !former.contains(&host) {
                log_event!(Event::StreamsCopied, host:% = host, streams = records.len());
            }
            for records in records.chunks(MAX_STREAMS_PER_MESSAGE) {
                self.send_to_client(&host, &ToHost::Streams(records.to_vec()));
            }
        }
    }
}

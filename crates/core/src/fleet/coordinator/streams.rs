//! Binds requests that go on with a stream to the software version that began it.
//!
//! A stream whose version is not known may go on only if no other version can have
//! begun it. Whether one can is known as of the last verification of the store's view:
//! whoever began the stream saw the runner's entry before, so a view that was verified
//! after the request arrived shows its version too.

use std::time::Duration;

use crate::{
    fleet::{
        FleetConfig, PlacementReply, PlacementRequest, RetryPolicy, RunnerVersion, StreamRecord,
        VersionHistory, stream_retention,
    },
    ids::{HostId, RequestId, UpstreamName},
    outcome::NotRunReason,
    time::MonoTime,
};

use super::Coordinator;

/// Maximum time for which a request waits until its stream's version is known. A view
/// of the store is verified once a second.
const MAX_VERSION_WAIT: Duration = Duration::from_millis(1_300);

/// Part of it while several versions serve: only another host's record can help then,
/// and hosts report theirs as they connect.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(500);

/// Retry-after time of a stream whose version is not known here.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Retry-after time of a stream whose version no runner has. A crashed runner is back
/// after a second or two.
const GONE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that waits until the version of its stream is known.
#[derive(Clone, Debug)]
pub(super) struct TakeUp {
    pub(super) host: HostId,
    req: PlacementRequest,
    arrived_at: MonoTime,
}

/// What is known of the version that a request requires.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Required {
    /// Any version may run it.
    Any,
    Only(RunnerVersion),
    /// Not known yet. True if only another host's record can tell.
    Unknown(bool),
    /// The stream began at a runner of unknown version, or at another upstream.
    Never,
}

impl Coordinator {
    /// Records that the view of the store was the newest at this time.
    pub fn set_verified(
        &mut self,
        now: MonoTime,
        verified_at: MonoTime,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        self.verified_at = self.verified_at.max(verified_at);
        self.submit_take_ups(now, out);
    }

    /// Adds the versions of streams that another host knows, or that the local host
    /// began while another one coordinates.
    pub fn learn_streams<I>(
        &mut self,
        now: MonoTime,
        records: I,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) where
        I: IntoIterator<Item = StreamRecord>,
    {
        for record in records {
            self.record_stream(now, record);
        }
        self.submit_take_ups(now, out);
    }

    /// Adds the versions of streams that the store has. They aren't told to other hosts.
    pub fn restore_streams<I>(
        &mut self,
        now: MonoTime,
        records: I,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) where
        I: IntoIterator<Item = StreamRecord>,
    {
        for record in records {
            let record = self.with_retention(now, record);
            self.stored_streams.record(now, record);
        }
        self.submit_take_ups(now, out);
    }

    /// Returns the retention that the store's record should have.
    #[must_use]
    pub fn retention_to_record(&self, now: MonoTime) -> Duration {
        self.retention.to_record(now)
    }

    /// Applies the retention of the store's record, which covers streams of other hosts and
    /// of configurations that this host has not seen.
    pub fn set_recorded_retention(&mut self, now: MonoTime, retention: Duration) {
        self.retention.set_recorded(now, retention);
    }

    /// Returns the recent streams of which the version is known.
    pub fn known_streams(&self, now: MonoTime) -> impl Iterator<Item = StreamRecord> {
        self.streams.records(now)
    }

    /// Returns the streams that were recorded since the last call, of upstreams at
    /// which several versions serve.
    pub fn take_new_streams(&mut self) -> Vec<StreamRecord> {
        std::mem::take(&mut self.new_streams)
    }

    /// Records a version of an upstream that other hosts have seen, how long ago its last
    /// runner was removed, and for how long its streams may still be taken up; if that is not
    /// given, this host's own retention counts.
    pub fn version_reported(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamName,
        version: Option<RunnerVersion>,
        gone_for: Duration,
        time_left: Option<Duration>,
    ) {
        let keep_until = match time_left {
            Some(time_left) => now + time_left,
            None => self.retention.keep_until(now) - gone_for,
        };
        let history = &mut self.upstream_state(upstream).history;
        history.version_reported(now, version, gone_for, keep_until);
    }

    /// Returns the versions of each upstream's runners.
    pub fn version_histories(&self) -> impl Iterator<Item = (&UpstreamName, &VersionHistory)> {
        self.upstreams.iter().map(|(name, state)| (name, &state.history))
    }

    /// Forgets streams and versions that no request can refer to any more, and returns the
    /// versions.
    pub fn expire_versions(&mut self, now: MonoTime) -> Vec<(UpstreamName, Option<RunnerVersion>)> {
        self.streams.expire(now);
        self.stored_streams.expire(now);
        let upstreams = self.upstreams.iter_mut();
        let expired = upstreams.flat_map(|(name, state)| {
            state.history.expire(now).map(move |version| (name.clone(), version))
        });
        expired.collect()
    }

    /// Submits a request at the version that its stream requires, or lets it wait until
    /// that is known.
    pub(super) fn submit_bound(
        &mut self,
        now: MonoTime,
        host: &HostId,
        req: PlacementRequest,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        if let Some(stream) = &req.stream {
            let (id, retention) = (stream.id, stream.retention);
            self.retention.request_submitted(now, retention);
            self.streams.used(id, now, retention);
            self.stored_streams.used(id, now, retention);
        }
        match self.required_version(now, now, &req) {
            Required::Unknown(_) => {
                let take_up = TakeUp { host: host.clone(), arrived_at: now, req };
                self.take_ups.insert(take_up.req.record.id, take_up);
            }
            required => self.submit_required(now, host, req, required, out),
        }
    }

    /// Submits the waiting requests whose versions are known now, and refuses those
    /// that have waited too long.
    pub(super) fn submit_take_ups(
        &mut self,
        now: MonoTime,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        for id in self.take_ups.keys().copied().collect::<Vec<RequestId>>() {
            let Some(TakeUp { req, arrived_at, .. }) = self.take_ups.get(&id) else { continue };
            let required = match self.required_version(now, *arrived_at, req) {
                Required::Unknown(by_record) => {
                    let max_wait = if by_record { MAX_RECORD_WAIT } else { MAX_VERSION_WAIT };
                    if now.since(*arrived_at) < max_wait {
                        continue;
                    }
                    Required::Never
                }
                known => known,
            };
            let Some(TakeUp { host, mut req, arrived_at }) = self.take_ups.remove(&id) else {
                continue;
            };
            req.record.age += now.since(arrived_at);
            self.submit_required(now, &host, req, required, out);
        }
    }

    fn submit_required(
        &mut self,
        now: MonoTime,
        host: &HostId,
        mut req: PlacementRequest,
        required: Required,
        out: &mut Vec<(HostId, PlacementReply)>,
    ) {
        let id = req.record.id;
        let version = match required {
            Required::Any => None,
            Required::Only(version) => Some(version),
            Required::Unknown(_) | Required::Never => {
                let reason = NotRunReason::VersionUnknown;
                out.push((host.clone(), PlacementReply::Refuse(id, reason, UNKNOWN_RETRY_AFTER)));
                return;
            }
        };
        if let Some(version) = &version {
            if !self.upstream_state(&req.upstream).scheduler.serves_version(version) {
                let reason = NotRunReason::VersionGone;
                out.push((host.clone(), PlacementReply::Refuse(id, reason, GONE_RETRY_AFTER)));
                return;
            }
            if let Some(stream) = &mut req.stream {
                stream.version = Some(version.clone());
            }
        }
        self.submit(now, host, req, version, out);
    }

    fn required_version(
        &self,
        now: MonoTime,
        arrived_at: MonoTime,
        req: &PlacementRequest,
    ) -> Required {
        let Some(stream) = req.stream.as_ref().filter(|stream| !stream.begins) else {
            return Required::Any;
        };
        if let Some(version) = &stream.version {
            return Required::Only(version.clone());
        }
        let known = self.streams.get(stream.id);
        if let Some((upstream, version)) = known.or_else(|| self.stored_streams.get(stream.id)) {
            let version = version.filter(|_| *upstream == req.upstream);
            return version.map_or(Required::Never, |version| Required::Only(version.clone()));
        }
        if self.verified_at < arrived_at {
            return Required::Unknown(false);
        }
        let history = self.upstreams.get(&req.upstream).map(|state| &state.history);
        let sole = history.and_then(|history| history.sole_version(now));
        sole.map_or(Required::Unknown(true), |version| Required::Only(version.clone()))
    }

    pub(super) fn record_stream(&mut self, now: MonoTime, record: StreamRecord) {
        let state = self.upstreams.get(&record.upstream);
        let is_mixed = state.is_some_and(|state| state.history.is_mixed(now));
        let record = self.with_retention(now, record);
        let is_new = self.streams.record(now, record.clone());
        if is_mixed && is_new {
            self.new_streams.push(record);
        }
    }
    /// Sets the retention of a record that names none.
    fn with_retention(&self, now: MonoTime, record: StreamRecord) -> StreamRecord {
        if record.retention > Duration::ZERO {
            return record;
        }
        let used_at = now - record.age;
        StreamRecord { retention: self.retention.keep_until(used_at).since(used_at), ..record }
    }
}

/// Returns the retention of streams that are admitted by a configuration.
pub(super) fn configured_retention(config: &FleetConfig) -> Duration {
    let resumable = config.routes().filter(|route| route.retry == RetryPolicy::Resumable);
    let longest = resumable.map(|route| route.time_limit).max().unwrap_or_default();
    stream_retention(longest, None)
}

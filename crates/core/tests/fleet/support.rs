//! Builders for the requests and runners of the fleet tests.

use std::{net::SocketAddr, time::Duration};

use comfreyway_core::{
    fleet::{
        CallerLimits, ClientAction, CoordinatorClient, FleetConfig, PlacementRequest, RetryPolicy,
        Route, RunnerEntry, RunnerKey, RunnerVersion,
    },
    ids::{HostId, RequestId, RunnerName, Tier},
    request::{RequestRecord, Target},
    time::MonoTime,
};

pub(crate) fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

pub(crate) fn host(name: &str) -> HostId {
    HostId { name: name.parse().unwrap(), incarnation: 1 }
}

/// Switches a host to the coordinator of another one, or to its own.
pub(crate) fn set_coordinator(
    client: &mut CoordinatorClient,
    now: MonoTime,
    coordinator: Option<HostId>,
    out: &mut Vec<ClientAction>,
) {
    if client.coordinator() == coordinator.as_ref() {
        return;
    }
    match coordinator {
        Some(host) => {
            let session = client.dial(now, host, out);
            assert!(client.session_opened(session, ()) && client.use_session(now, out));
        }
        None => drop(client.end_session(now, out)),
    }
}

pub(crate) fn name(text: &str) -> RunnerName {
    text.parse().unwrap()
}

pub(crate) fn id(number: u128) -> RequestId {
    RequestId::new(number)
}

/// A streamed request with a target of 800 ms and 250 ms between tokens.
pub(crate) fn record(number: u128, tier: u8, prompt: u32) -> RequestRecord {
    RequestRecord {
        id: id(number),
        entry: host("h1"),
        workspace: "desk".parse().unwrap(),
        class: format!("class-{tier}").parse().unwrap(),
        tier: Tier(tier),
        target: Target::Stream {
            first_token: Duration::from_millis(800),
            between_tokens: Duration::from_millis(250),
        },
        age: Duration::ZERO,
        prefill_tokens: prompt,
        max_decode_tokens: None,
        prefix: Vec::new(),
        prefix_tokens: Vec::new(),
        length_hint: None,
        body_bytes: 0,
    }
}

pub(crate) fn placement_request(number: u128, cost: f64) -> PlacementRequest {
    PlacementRequest {
        record: record(number, 1, 1_000),
        upstream: "dala".parse().unwrap(),
        parts: Vec::new(),
        digest: None,
        cost,
        time_limit: Duration::from_secs(12),
        prior_attempts: 0,
        rejections: 0,
        resubmitted: false,
        avoid: None,
        stream: None,
    }
}

pub(crate) fn entry(runner: &str, started_ms: u64, leaving: bool) -> RunnerEntry {
    RunnerEntry {
        key: RunnerKey { name: name(runner), started_ms: Some(started_ms) },
        upstream: "dala".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "medeu".parse().unwrap(),
        slots: 4,
        leaving,
        version: RunnerVersion::new("v1"),
    }
}

/// A configuration without routes.
pub(crate) fn empty_config() -> FleetConfig {
    let limits = CallerLimits {
        max_head_bytes: 1,
        max_body_bytes: 1,
        read_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    FleetConfig::new(1, 1, limits)
}

/// A route to `dala` whose streams may be taken up again.
pub(crate) fn resumable_route(time_limit: Duration) -> Route {
    Route {
        class: "report".parse().unwrap(),
        host: "desk.example".to_owned(),
        prefix: "/report/".to_owned(),
        upstreams: vec![("dala".parse().unwrap(), 1)],
        retry: RetryPolicy::Resumable,
        streaming: true,
        time_limit,
        target: Target::Whole(time_limit),
        tier: Tier(1),
        max_attempts: 2,
        public: true,
        shares_prompts: false,
    }
}

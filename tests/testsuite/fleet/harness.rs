//! A fleet for one test: a store, runners and daemons.

use std::{collections::BTreeMap, net::SocketAddr};

use awc::Client;
use comfreyway_testkit::{
    daemon::DaemonSettings,
    fleet_runner::{FleetRunner, RunnerMode},
    raw_runner::{RawResponse, RawRunner},
    store::StoreStandIn,
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::Daemon;

pub(super) const ID: &str = "x-comfreyway-request-id";
pub(super) const KEY: &str = "x-api-key";
pub(super) const DEADLINE: &str = "x-comfreyway-request-deadline-ms";
pub(super) const PARTS: &str = "x-comfreyway-prompt-prefix";
pub(super) const USAGE: &str = "x-comfreyway-token-usage";

/// Key of the workspace `desk`.
pub(super) const DESK_KEY: &str = "key-of-desk";

/// A store that holds a configuration and the entries of runners.
pub(super) struct FleetHarness {
    pub(super) store: StoreStandIn,
    pub(super) runners: Vec<FleetRunner>,
}

/// A response as a caller receives it.
#[derive(Debug)]
pub(super) struct Response {
    pub(super) status: u16,
    pub(super) headers: BTreeMap<String, String>,
    /// `None` if the body is incomplete.
    pub(super) body: Option<String>,
}

impl Response {
    pub(super) fn reason(&self) -> String {
        let body = self.body.as_deref().unwrap_or_default();
        let problem = serde_json::from_str::<Value>(body).unwrap_or_default();
        problem["reason"].as_str().unwrap_or_default().to_owned()
    }
}

impl FleetHarness {
    /// Starts a store that holds the configuration as version 1.
    pub(super) fn new() -> Self {
        let fleet = Self { store: StoreStandIn::start().unwrap(), runners: Vec::new() };
        fleet.put_configuration(configuration(1));
        fleet
    }

    pub(super) fn put_configuration(&self, configuration: Value) {
        self.store.put("op/config", configuration.to_string().as_bytes());
    }

    /// Starts a runner and adds its entry to the store.
    pub(super) fn with_runner(mut self, upstream: &str, name: &str, mode: RunnerMode) -> Self {
        let runner = FleetRunner::start(name, mode).unwrap();
        self.put_runner(&runner, upstream, "ready");
        self.runners.push(runner);
        self
    }

    /// Starts a runner of this software version and adds its entry to the store.
    pub(super) fn start_version(
        &self,
        upstream: &str,
        name: &str,
        version: &str,
        mode: RunnerMode,
    ) -> FleetRunner {
        let runner = FleetRunner::start(name, mode).unwrap();
        self.put_version(&runner, upstream, version);
        runner
    }

    /// Writes the entry of a runner of this software version.
    pub(super) fn put_version(&self, runner: &FleetRunner, upstream: &str, version: &str) {
        let mut entry = runner_entry(runner.address(), upstream, "ready");
        entry["version"] = json!(version);
        self.store.put(&format!("servers/{}", runner.name()), entry.to_string().as_bytes());
    }

    /// Starts a runner that writes its responses byte by byte, and adds its entry
    /// to the store.
    pub(super) fn start_raw_runner(
        &self,
        upstream: &str,
        name: &str,
        response: RawResponse,
    ) -> RawRunner {
        let runner = RawRunner::start(name, response).unwrap();
        let entry = runner_entry(runner.address(), upstream, "ready");
        self.store.put(&format!("servers/{name}"), entry.to_string().as_bytes());
        runner
    }

    pub(super) fn put_runner(&self, runner: &FleetRunner, upstream: &str, state: &str) {
        let entry = runner_entry(runner.address(), upstream, state);
        let key = format!("servers/{}", runner.name());
        self.store.put(&key, entry.to_string().as_bytes());
    }

    pub(super) fn settings(&self, name: &str) -> DaemonSettings {
        let settings = DaemonSettings::with_fleet_store(name, self.store.address()).unwrap();
        settings.with_workers(1).with_fleet("region", "almaty")
    }

    /// Starts a host and waits until it is ready.
    pub(super) async fn start_host(&self, name: &str) -> Daemon {
        Daemon::start_ready(self.settings(name)).await
    }
}

/// Returns the entry of a runner in the store.
pub(crate) fn runner_entry(address: SocketAddr, upstream: &str, state: &str) -> Value {
    json!({
        "service": upstream, "address": address.to_string(), "zone": "medeu",
        "version": "v1", "slots": 2, "state": state, "coldLeftMs": 0, "seq": 1,
    })
}

/// Returns the configuration of the tests: a plain service `survey` and an
/// engine `dala`.
pub(super) fn configuration(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "desk.example", "prefix": prefix, "kind": kind,
            "timeoutMs": 8000, "sloMs": 4000, "priority": 1, "service": service,
            "attempts": 2, "public": false, "sticky": false, "resumable": false,
        })
    };
    let mut resumable = route("report", "/report/", "streaming", "dala");
    resumable["resumable"] = json!(true);
    resumable["gapTargetMs"] = json!(1000);
    let mut open = route("open", "/open/", "safe", "survey");
    open["public"] = json!(true);
    json!({
        "version": version,
        "routes": [
            route("lookup", "/lookup/", "safe", "survey"),
            route("count", "/lookup/count/", "unsafe", "survey"),
            route("tags", "/tags/", "streaming", "dala"),
            resumable,
            open,
        ],
        "services": [
            { "name": "survey", "healthCheck": "/health", "maxConns": 100 },
            { "name": "dala", "healthCheck": "/health", "maxConns": 100,
              "engine": { "slots": 2, "stride": 3 } },
        ],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 100_000,
                    "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [
            { "name": "desk", "apiKeys": [DESK_KEY], "priority": 1, "unit": "tokens",
              "plainTokens": 200, "ratePerS": 0, "burst": 0 },
        ],
    })
}

/// Sends a request of the workspace `desk` to a host.
pub(super) async fn call(host: &Daemon, id: &str, path: &str) -> Response {
    call_with(host, id, path, &[(KEY, DESK_KEY)], "question").await
}

/// Sends a `/lookup/` request to a host that may be stopping or killed. Returns
/// `None` if the connection is closed without a response.
pub(super) async fn try_call(host: &Daemon, id: &str) -> Option<Response> {
    send(host.settings().callers, id, "/lookup/", &[(KEY, DESK_KEY)], "").await
}

/// Sends a request to the host at this address, which may be down. Returns `None` if there
/// is no response.
pub(super) async fn try_call_at(host: SocketAddr, id: &str, path: &str) -> Option<Response> {
    send(host, id, path, &[(KEY, DESK_KEY)], "").await
}

/// Sends a request and returns all bytes of the response. The HTTP client of the
/// other calls accepts a truncated chunked body as complete.
pub(super) async fn raw_call(host: &Daemon, path: &str) -> String {
    let mut stream = TcpStream::connect(host.settings().callers).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: desk.example\r\n{ID}: raw\r\n{KEY}: {DESK_KEY}\r\n\
         content-length: 0\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    // A truncated response may end with a reset.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request with these headers.
pub(super) async fn call_with(
    host: &Daemon,
    id: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response {
    send(host.settings().callers, id, path, headers, body).await.expect("the host sent no response")
}

async fn send(
    host: SocketAddr,
    id: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response> {
    let client = Client::builder().disable_timeout().no_default_headers().finish();
    let url = format!("http://{host}{path}");
    let mut req = client.post(url).no_decompress();
    req = req.insert_header(("host", "desk.example")).insert_header((ID, id));
    for (name, value) in headers {
        req = req.insert_header((*name, *value));
    }
    let mut res = req.send_body(body.to_owned()).await.ok()?;
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers = res.headers().iter();
    let headers = headers.map(|(n, v)| (n.to_string(), text(v.as_bytes()))).collect();
    let body = res.body().await.ok().map(|body| text(&body));
    Some(Response { status: res.status().as_u16(), headers, body })
}

/// Returns the first `count` events of a stand-in's stream.
pub(super) fn events(count: u64) -> String {
    (1..=count).map(|n| format!("id: {n}\ndata: e{n}\n\n")).collect()
}

//! The traffic path and the control thread of one daemon in this process.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use actix::Actor;
use actix_web::web::Data;
use comfreyway_core::{
    config::{
        Class, DataCentre, Document, Model, Route, Runner, Upstream, UpstreamKind, Workspace,
    },
    ids::{HostId, Tier},
    request::Target,
};
use comfreyway_node::{
    control::{ControlActor, ControlHandle, WorkerMessage},
    http::{TrafficState, serve},
    metrics::Metrics,
    settings::Settings,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{
        mpsc::{UnboundedReceiver, unbounded_channel},
        watch,
    },
};

const SETTINGS: &str = "[host]\nname = h1\ndata-centre = medeu\nworkers = 1\n[limits]\n\
    body-bytes = 4KiB\nheader-bytes = 4KiB\nbody-time = 300ms\nupstream-idle = 5s\nresults-bytes = 8KiB\n";

/// A running daemon.
pub(crate) struct Harness {
    pub(crate) address: SocketAddr,
    pub(crate) traffic: Data<TrafficState>,
    metrics: Metrics,
    config: watch::Sender<Arc<Document>>,
}

impl Harness {
    /// Starts a daemon with one runner that serves as engine and as service.
    pub(crate) fn start(runner: SocketAddr, resumes: bool) -> Self {
        let (harness, queue) = Self::without_control(runner, resumes);
        let host = HostId { name: "h1".parse().unwrap(), incarnation: 1 };
        ControlActor::new(host, harness.config.subscribe(), queue).start();
        harness
    }

    /// Starts a daemon without a control thread. The test reads the queue and makes
    /// the decisions.
    pub(crate) fn without_control(
        runner: SocketAddr,
        resumes: bool,
    ) -> (Self, UnboundedReceiver<WorkerMessage>) {
        let settings = Settings::parse(SETTINGS, Path::new("test.ini")).unwrap();
        let (tx, queue) = unbounded_channel();
        let (config, config_rx) = watch::channel(Arc::new(document(runner, resumes)));
        let metrics = Metrics::new().unwrap();
        let control = ControlHandle::new(tx);
        let traffic = TrafficState::new(&settings, config_rx, control, metrics.traffic().clone());
        let traffic = Data::new(traffic);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        actix_rt::spawn(serve(&settings, traffic.clone(), listener).unwrap());
        (Self { address, traffic, metrics, config }, queue)
    }

    /// Sends raw bytes and reads until the daemon closes the connection.
    pub(crate) async fn send(&self, request: &str) -> String {
        let mut stream = self.open(request).await;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.unwrap();
        String::from_utf8(response).unwrap()
    }

    /// Sends raw bytes and leaves the connection open.
    pub(crate) async fn open(&self, request: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        stream
    }

    /// Returns the value of a metric by its name and labels.
    pub(crate) fn metric(&self, name: &str) -> u64 {
        let text = self.metrics.render().unwrap();
        let line = text.lines().find(|line| line.starts_with(name)).unwrap_or_default();
        line.rsplit(' ').next().and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// Waits until the daemon has no request in progress.
    pub(crate) async fn wait_idle(&self) {
        tokio::time::timeout(Duration::from_secs(10), self.traffic.wait_idle()).await.unwrap();
    }
}

/// Returns a request whose connection closes after the response.
pub(crate) fn request(line: &str, headers: &[&str], body: &str) -> String {
    let mut text = format!("{line} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n");
    for header in headers {
        text.push_str(&format!("{header}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    format!("{text}\r\n{body}")
}

/// Returns a chat request, of the idempotent class unless `headers` name one.
pub(crate) fn chat(headers: &[&str], stream: bool) -> String {
    let body = format!(
        r#"{{"model":"m","stream":{stream},"extra":1.50,"messages":[{{"role":"user","content":"Hi"}}]}}"#
    );
    let mut all = vec!["comfreyway-workspace: acme"];
    if !headers.iter().any(|header| header.starts_with("comfreyway-class")) {
        all.push("comfreyway-class: ask");
    }
    all.extend(headers);
    request("POST /v1/chat/completions", &all, &body)
}

/// Returns the body of a chunked response, and whether its last chunk arrived.
pub(crate) fn dechunk(response: &str) -> (String, bool) {
    let (_, mut rest) = response.split_once("\r\n\r\n").unwrap();
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap();
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..size) else { break };
        body.push_str(chunk);
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}

fn document(address: SocketAddr, resumes: bool) -> Document {
    let runner = Runner { address, data_centre: "medeu".parse().unwrap(), leaving: false };
    let upstream = |kind| Upstream {
        kind,
        checks_fencing: true,
        resumes,
        runners: [("r1".parse().unwrap(), runner.clone())].into(),
    };
    let class = |target_s, idempotent, cancellable| Class {
        tier: Tier(0),
        target: Target::Whole(Duration::from_secs(target_s)),
        idempotent,
        cancellable,
    };
    let route = |class: Option<&str>| Route {
        upstream: "api".parse().unwrap(),
        class: class.map(|class| class.parse().unwrap()),
    };
    Document {
        version: 1,
        classes: [
            ("ask".parse().unwrap(), class(20, true, true)),
            ("soon".parse().unwrap(), class(1, true, true)),
            ("keep".parse().unwrap(), class(20, true, false)),
            ("once".parse().unwrap(), class(20, false, false)),
        ]
        .into(),
        data_centres: [(
            "medeu".parse().unwrap(),
            DataCentre { region: "almaty".parse().unwrap() },
        )]
        .into(),
        models: [("m".parse().unwrap(), Model { upstream: "llm".parse().unwrap() })].into(),
        routes: [("/rack".into(), route(Some("ask"))), ("/bare".into(), route(None))].into(),
        upstreams: [
            ("llm".parse().unwrap(), upstream(UpstreamKind::Engine)),
            ("api".parse().unwrap(), upstream(UpstreamKind::Service)),
        ]
        .into(),
        workspaces: [("acme".parse().unwrap(), Workspace::default())].into(),
    }
}

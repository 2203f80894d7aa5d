//! Memory of one daemon by number of open streams.

use std::{io, net::SocketAddr, time::Duration};

use actix_rt::time::sleep;
use awc::{Client, ClientResponse, Connector};
use comfreyway_proto::headers;
use futures_util::{StreamExt, future::join_all};
use serde_json::json;

use crate::{
    engine::EngineSettings,
    measure::{Fit, Table},
};

use super::{CapacityOptions, rig::Rig};

/// Numbers of open streams. Each takes two file descriptors of the daemon, and
/// the process limit is 20,000.
const STREAMS: [usize; 4] = [1, 100, 1_000, 2_000];
/// Runners behind the daemon: enough for all streams at the initial limit of
/// sequences of a runner.
const RUNNERS: usize = 512;
/// Streams that are opened at the same time.
const OPEN_BATCH: usize = 500;
/// Token limit of one stream; far more than are generated.
const TOKENS: u32 = 1_000_000;
/// Tokens per second of one stream.
const DECODE_RATE: f64 = 1.0;
/// Time for the daemon's memory to stabilise.
const SETTLE: Duration = Duration::from_secs(2);

type Stream = ClientResponse;

/// Measures memory at increasing numbers of open streams with one token per
/// second.
pub(super) async fn streams(_options: &CapacityOptions) -> io::Result<Vec<Table>> {
    let settings = EngineSettings::new().with_rates(1e7, DECODE_RATE).with_max_batch(16_384);
    let rig = Rig::start(RUNNERS, settings).await?;
    let connector = Connector::new().limit(0).timeout(Duration::from_secs(30));
    let client = Client::builder().connector(connector).disable_timeout().finish();
    let title = "Memory of one daemon by open streams";
    let mut table = Table::new(title, &["streams", "resident KiB"]);
    let mut points = Vec::new();
    let mut open: Vec<Stream> = Vec::new();
    for target in STREAMS {
        while open.len() < target {
            let count = OPEN_BATCH.min(target - open.len());
            let more = join_all((0..count).map(|_| open_stream(&client, rig.callers()))).await;
            let more: Option<Vec<_>> = more.into_iter().collect();
            open.extend(more.ok_or_else(|| io::Error::other("a stream could not be opened"))?);
        }
        sleep(SETTLE).await;
        let bytes = rig.sample()?.resident_bytes;
        table.push(vec![open.len().to_string(), (bytes >> 10).to_string()]);
        points.push((open.len() as f64, bytes as f64));
    }
    let mut fitted = Table::new(&format!("{title}: fit"), &["bytes per stream", "error"]);
    if let Some(fit) = Fit::new(&points) {
        let error = fit.slope_error.map_or("-".to_owned(), |e| format!("{e:.0}"));
        fitted.push(vec![format!("{:.0}", fit.slope), error]);
    }
    Ok(vec![table, fitted])
}

/// Opens a stream and reads its first bytes.
async fn open_stream(client: &Client, callers: SocketAddr) -> Option<Stream> {
    let body = json!({
        "model": "dala",
        "messages": [{"role": "user", "content": "Summarise."}],
        "max_tokens": TOKENS,
        "stream": true,
    });
    let req = client
        .post(format!("http://{callers}/v1/chat/completions"))
        .insert_header((headers::CLASS, "summary"))
        .insert_header((headers::WORKSPACE, "workspace-0"));
    let mut res = req.send_json(&body).await.ok()?;
    res.next().await?.ok()?;
    Some(res)
}

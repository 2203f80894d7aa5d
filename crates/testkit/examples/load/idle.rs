//! Memory of open streams without events.

use std::{net::SocketAddr, time::Duration};

use actix_rt::net::TcpStream;
use comfreyway_testkit::measure::{ProcessSample, Table};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::{rig::Rig, steps::Failure, upstream};

/// Numbers of open streams.
const STREAMS: [usize; 4] = [1, 100, 1_000, 4_000];

/// Time between two events of an idle stream.
const EVENT_INTERVAL: Duration = Duration::from_secs(3_600);

const BYTES_PER_KIB: f64 = 1_024.0;

/// Measures the daemon's memory at increasing numbers of open streams.
pub(crate) fn measure() -> Result<Table, Failure> {
    let rig = Rig::start(upstream::start(1, EVENT_INTERVAL)?)?;
    let mut table = Table::new("Idle streams", &["streams", "resident KiB", "KiB per stream"]);
    let before = ProcessSample::read(rig.pid())?.resident_bytes;
    actix_rt::System::new().block_on(async {
        let mut open = Vec::new();
        for count in STREAMS {
            while open.len() < count {
                open.push(open_stream(rig.callers()).await?);
            }
            let resident = ProcessSample::read(rig.pid())?.resident_bytes;
            let added = resident.saturating_sub(before) as f64 / BYTES_PER_KIB;
            table.push(vec![
                count.to_string(),
                format!("{:.0}", resident as f64 / BYTES_PER_KIB),
                format!("{:.1}", added / count as f64),
            ]);
        }
        Ok::<_, Failure>(())
    })?;
    Ok(table)
}

/// Opens a stream and waits for its first event.
async fn open_stream(address: SocketAddr) -> Result<TcpStream, Failure> {
    let mut stream = send_request(address).await?;
    let mut response = Vec::new();
    while !response.ends_with(b"\n\n\r\n") {
        if stream.read_buf(&mut response).await? == 0 {
            return Err(String::from_utf8_lossy(&response).into_owned().into());
        }
    }
    Ok(stream)
}

/// Connects and sends a request for a stream.
pub(crate) async fn send_request(address: SocketAddr) -> Result<TcpStream, Failure> {
    let body = r#"{"model":"dala","stream":true,"messages":[{"role":"user","content":"Hi"}]}"#;
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\ncomfreyway-class: summary\r\n\
         comfreyway-workspace: workspace-0\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    Ok(stream)
}

//! Memory of open streams that give nothing.

use std::{net::SocketAddr, time::Duration};

use actix_rt::net::TcpStream;
use comfreyway_testkit::measure::{ProcessSample, Table};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::{bench::Bench, source, trial::Failure};

/// Numbers of open streams.
const STREAMS: [usize; 4] = [1, 100, 1_000, 4_000];

/// Time between two events of a stream that counts as idle.
const PAUSE: Duration = Duration::from_secs(3_600);

const BYTES_PER_KIB: f64 = 1_024.0;

/// Opens streams step by step and reads the daemon's memory.
pub(crate) fn measure() -> Result<Table, Failure> {
    let bench = Bench::start(source::start(1, PAUSE)?)?;
    let mut table = Table::new("Idle streams", &["streams", "resident KiB", "KiB per stream"]);
    let before = ProcessSample::read(bench.pid())?.resident_bytes;
    actix_rt::System::new().block_on(async {
        let mut open = Vec::new();
        for count in STREAMS {
            while open.len() < count {
                open.push(open_stream(bench.callers()).await?);
            }
            let resident = ProcessSample::read(bench.pid())?.resident_bytes;
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
    let mut stream = ask(address).await?;
    let mut answer = Vec::new();
    while !answer.ends_with(b"\n\n\r\n") {
        if stream.read_buf(&mut answer).await? == 0 {
            return Err(String::from_utf8_lossy(&answer).into_owned().into());
        }
    }
    Ok(stream)
}

/// Asks for a stream.
pub(crate) async fn ask(address: SocketAddr) -> Result<TcpStream, Failure> {
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

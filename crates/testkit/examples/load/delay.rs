//! Delay from sending an event to receiving it.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_rt::net::TcpStream;
use comfreyway_testkit::measure::Table;
use hdrhistogram::Histogram;
use tokio::io::AsyncReadExt;

use crate::{
    idle::send_request,
    rig::Rig,
    steps::Failure,
    upstream::{SENT_AT_KEY, elapsed_us},
};

/// Numbers of concurrent streams; each sends 100 events per second.
const STREAMS: [usize; 2] = [100, 200];

/// Time for which each stream is read.
const READ_TIME: Duration = Duration::from_millis(1_800);

/// Time at the start in which events do not count.
const WARM_UP: Duration = Duration::from_millis(300);

/// Highest delay that the histograms record; longer ones count as this.
const MAX_DELAY_US: u64 = 10_000_000;

const MICROS_PER_MILLI: f64 = 1_000.0;

/// Reads streams directly from the upstream and through the daemon.
pub(crate) fn measure(rig: &Rig) -> Result<Table, Failure> {
    let columns = ["streams", "path", "events/s", "p50 ms", "p99 ms", "p99.9 ms"];
    let mut table = Table::new("Delay of one event", &columns);
    for streams in STREAMS {
        for (path, address) in [("direct", rig.upstream()), ("daemon", rig.callers())] {
            let delays = actix_rt::System::new().block_on(read_all(address, streams))?;
            table.push(row(streams, path, &delays));
        }
    }
    Ok(table)
}

fn row(streams: usize, path: &str, delays: &Histogram<u64>) -> Vec<String> {
    let ms =
        |quantile| format!("{:.2}", delays.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI);
    let counted = (READ_TIME - WARM_UP).as_secs_f64();
    vec![
        streams.to_string(),
        path.to_owned(),
        format!("{:.0}", delays.len() as f64 / counted),
        ms(0.5),
        ms(0.99),
        ms(0.999),
    ]
}

async fn read_all(address: SocketAddr, streams: usize) -> Result<Histogram<u64>, Failure> {
    let mut readers = Vec::new();
    for _ in 0..streams {
        let stream = send_request(address).await?;
        readers.push(actix_rt::spawn(read(stream)));
    }
    let mut delays = Histogram::new_with_max(MAX_DELAY_US, 3)?;
    for reader in readers {
        delays.add(reader.await??)?;
    }
    Ok(delays)
}

async fn read(mut stream: TcpStream) -> Result<Histogram<u64>, String> {
    let mut delays = Histogram::new_with_max(MAX_DELAY_US, 3).map_err(|e| e.to_string())?;
    let start = Instant::now();
    let mut buf = Vec::with_capacity(4_096);
    while start.elapsed() < READ_TIME {
        if stream.read_buf(&mut buf).await.map_err(|e| e.to_string())? == 0 {
            return Err("the stream ended too early".to_owned());
        }
        let now = elapsed_us();
        let drained = drain_events(&mut buf, |sent| {
            if start.elapsed() > WARM_UP {
                delays.saturating_record(now.saturating_sub(sent));
            }
        });
        drained.map_err(|e| e.to_string())?;
    }
    Ok(delays)
}

/// Removes all complete events from `buf` and records the time each was sent.
fn drain_events<F>(buf: &mut Vec<u8>, mut record: F) -> Result<(), Failure>
where
    F: FnMut(u64),
{
    let Some(end) = buf.windows(2).rposition(|two| two == b"\n\n") else { return Ok(()) };
    let text = std::str::from_utf8(&buf[..end])?;
    for event in text.split(SENT_AT_KEY).skip(1) {
        let digits = event.split('}').next().unwrap_or_default();
        record(digits.parse()?);
    }
    buf.drain(..end + 2);
    Ok(())
}

//! Time from the sending of an event to its arrival.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_rt::net::TcpStream;
use comfreyway_testkit::measure::Table;
use hdrhistogram::Histogram;
use tokio::io::AsyncReadExt;

use crate::{
    bench::Bench,
    idle::ask,
    source::{SENT_AT, sent_at},
    trial::Failure,
};

/// Numbers of streams that are read at once; each gives 100 events a second.
const STREAMS: [usize; 2] = [100, 200];

/// Time for which streams are read.
const READING: Duration = Duration::from_millis(1_800);

/// Time from which on events count.
const WARM_UP: Duration = Duration::from_millis(300);

/// Longest delay that is told apart, in microseconds.
const MAX_DELAY_US: u64 = 10_000_000;

const MICROS_PER_MILLI: f64 = 1_000.0;

/// Reads streams straight from the source and through the daemon.
pub(crate) fn measure(bench: &Bench) -> Result<Table, Failure> {
    let columns = ["streams", "way", "events/s", "p50 ms", "p99 ms", "p99.9 ms"];
    let mut table = Table::new("Delay of one event", &columns);
    for streams in STREAMS {
        for (way, address) in [("direct", bench.source()), ("daemon", bench.callers())] {
            let delays = actix_rt::System::new().block_on(read_all(address, streams))?;
            table.push(row(streams, way, &delays));
        }
    }
    Ok(table)
}

fn row(streams: usize, way: &str, delays: &Histogram<u64>) -> Vec<String> {
    let ms =
        |quantile| format!("{:.2}", delays.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI);
    let counted = (READING - WARM_UP).as_secs_f64();
    vec![
        streams.to_string(),
        way.to_owned(),
        format!("{:.0}", delays.len() as f64 / counted),
        ms(0.5),
        ms(0.99),
        ms(0.999),
    ]
}

async fn read_all(address: SocketAddr, streams: usize) -> Result<Histogram<u64>, Failure> {
    let mut readers = Vec::new();
    for _ in 0..streams {
        let stream = ask(address).await?;
        readers.push(actix_rt::spawn(read(stream)));
    }
    let mut sum = Histogram::new_with_max(MAX_DELAY_US, 3)?;
    for reader in readers {
        sum.add(reader.await??)?;
    }
    Ok(sum)
}

async fn read(mut stream: TcpStream) -> Result<Histogram<u64>, String> {
    let mut delays = Histogram::new_with_max(MAX_DELAY_US, 3).map_err(|e| e.to_string())?;
    let start = Instant::now();
    let mut buf = Vec::with_capacity(4_096);
    while start.elapsed() < READING {
        if stream.read_buf(&mut buf).await.map_err(|e| e.to_string())? == 0 {
            return Err("the stream has ended".to_owned());
        }
        let now = sent_at();
        let read = take_events(&mut buf, |sent| {
            if start.elapsed() > WARM_UP {
                delays.saturating_record(now.saturating_sub(sent));
            }
        });
        read.map_err(|e| e.to_string())?;
    }
    Ok(delays)
}

/// Takes every whole event out of `buf` and gives the time of its sending.
fn take_events<F>(buf: &mut Vec<u8>, mut record: F) -> Result<(), Failure>
where
    F: FnMut(u64),
{
    let Some(end) = buf.windows(2).rposition(|two| two == b"\n\n") else { return Ok(()) };
    let text = std::str::from_utf8(&buf[..end])?;
    for event in text.split(SENT_AT).skip(1) {
        let digits = event.split('}').next().unwrap_or_default();
        record(digits.parse()?);
    }
    buf.drain(..end + 2);
    Ok(())
}

//! Throughput and added latency of one daemon with one traffic thread.

use std::{io, time::Duration};

use crate::{
    engine::EngineSettings,
    load::{LoadResult, LoadSpec, Pace, RequestTemplate},
    measure::{Fit, Table},
};

use super::{
    CapacityOptions,
    rig::{Measurement, Rig, run_direct},
};

/// Runners behind the daemon.
const RUNNERS: usize = 128;
/// Tokens of one stream.
const TOKENS: u32 = 50;
/// Events of one stream: tokens, finish event and end marker.
const EVENTS: f64 = 52.0;
/// Tokens per second of one stream.
const DECODE_RATE: f64 = 50.0;
/// Offered events per second.
const EVENT_RATES: [f64; 4] = [2_500.0, 5_000.0, 10_000.0, 20_000.0];
/// Offered plain requests per second.
const REQUEST_RATES: [f64; 4] = [625.0, 1_250.0, 2_500.0, 5_000.0];
/// Callers that send requests back to back.
const SATURATING_CALLERS: usize = 64;
/// Threads that generate the load.
const LOAD_THREADS: usize = 3;
/// Time at the start in which nothing is measured.
const WARM_UP: Duration = Duration::from_secs(3);

/// Measures streams at increasing rates, through the daemon and direct.
pub(super) async fn streams(options: &CapacityOptions) -> io::Result<Vec<Table>> {
    let settings = EngineSettings::new().with_rates(1e7, DECODE_RATE).with_max_batch(4096);
    let rig = Rig::start(RUNNERS, settings).await?;
    let title = "Streams through one daemon with one traffic thread";
    let mut report = DataPathReport::new(title, "events/s");
    for rate in EVENT_RATES {
        let pace = Pace::Open { per_second: rate / EVENTS };
        let request = |address| RequestTemplate::stream(address, "Summarise.", TOKENS);
        let via_daemon = rig.run(spec(options, request(rig.callers()), pace)).await?;
        let direct = run_direct(spec(options, request(rig.engines[0].address()), pace)).await?;
        report.push(rate, via_daemon.load.events_per_second(), &via_daemon, &direct);
    }
    Ok(report.tables())
}

/// Measures small plain requests at increasing rates, through the daemon and
/// direct.
pub(super) async fn plain(options: &CapacityOptions) -> io::Result<Vec<Table>> {
    let rig = Rig::start(1, EngineSettings::new()).await?;
    let title = "Small plain requests through one daemon with one traffic thread";
    let mut report = DataPathReport::new(title, "requests/s");
    let service = rig.services[0].address();
    let request = |address| RequestTemplate::plain(address, "/survey/1");
    for rate in REQUEST_RATES {
        let pace = Pace::Open { per_second: rate };
        let via_daemon = rig.run(spec(options, request(rig.callers()), pace)).await?;
        let direct = run_direct(spec(options, request(service), pace)).await?;
        report.push(rate, via_daemon.load.requests_per_second(), &via_daemon, &direct);
    }
    let pace = Pace::Closed { callers: SATURATING_CALLERS };
    let via_daemon = rig.run(spec(options, request(rig.callers()), pace)).await?;
    let direct = run_direct(spec(options, request(service), pace)).await?;
    report.push(f64::INFINITY, via_daemon.load.requests_per_second(), &via_daemon, &direct);
    Ok(report.tables())
}

fn spec(options: &CapacityOptions, request: RequestTemplate, pace: Pace) -> LoadSpec {
    let (threads, warm_up, duration) = (LOAD_THREADS, WARM_UP, options.duration());
    LoadSpec { request, pace, threads, warm_up, duration }
}

/// Results of the runs of one kind of request.
struct DataPathReport {
    title: String,
    unit: String,
    table: Table,
    points: Vec<(f64, f64)>,
}

impl DataPathReport {
    fn new(title: &str, unit: &str) -> Self {
        let columns = [
            "offered",
            unit,
            "failed",
            "traffic %",
            "other %",
            "p50 us",
            "p99 us",
            "direct p50",
            "direct p99",
            "added p50",
            "added p99",
        ];
        let table = Table::new(title, &columns);
        Self { title: title.to_owned(), unit: unit.to_owned(), table, points: Vec::new() }
    }

    /// Adds a run. The latencies are those to the first byte.
    fn push(&mut self, offered: f64, reached: f64, via_daemon: &Measurement, direct: &LoadResult) {
        self.points.push((reached, via_daemon.cores()));
        let quantiles = |load: &LoadResult| {
            [0.5, 0.99].map(|q| load.first_byte.value_at_quantile(q).cast_signed())
        };
        let [p50, p99] = quantiles(&via_daemon.load);
        let [direct_p50, direct_p99] = quantiles(direct);
        let offered = if offered.is_finite() { format!("{offered:.0}") } else { "max".to_owned() };
        self.table.push(vec![
            offered,
            format!("{reached:.0}"),
            via_daemon.load.failed.to_string(),
            format!("{:.1}", via_daemon.traffic_percent()),
            format!("{:.1}", via_daemon.control_percent()),
            p50.to_string(),
            p99.to_string(),
            direct_p50.to_string(),
            direct_p99.to_string(),
            (p50 - direct_p50).to_string(),
            (p99 - direct_p99).to_string(),
        ]);
    }

    fn tables(self) -> Vec<Table> {
        let title = format!("{}: fit", self.title);
        let per_core = format!("{} per core", self.unit);
        let mut fitted = Table::new(&title, &["core s per 1000", "error", &per_core]);
        if let Some(fit) = Fit::new(&self.points) {
            let error = fit.slope_error.map_or("-".to_owned(), |e| format!("{:.4}", e * 1000.0));
            let per_core = format!("{:.0}", 1.0 / fit.slope);
            fitted.push(vec![format!("{:.4}", fit.slope * 1000.0), error, per_core]);
        }
        vec![self.table, fitted]
    }
}

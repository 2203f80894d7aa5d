//! CPU time of control by hosts: several daemons with one key-value service.

use std::{env, io, rc::Rc, time::Duration};

use actix_rt::task::{JoinHandle, spawn_blocking};
use comfreyway_core::config::{Change, ChangeId, ChangeOutcome, Edit};
use comfreyway_node::config::{ConfigActor, NoPeers};
use comfreyway_proto::ini;

use crate::{
    daemon::{DaemonProcess, DaemonSettings},
    engine::{EngineSettings, EngineStandIn},
    load::{self, LoadResult, LoadSpec, Pace, RequestTemplate},
    measure::{Fit, MetricsPage, ProcessSample, Table},
    server::ANY_PORT,
    service::ServiceStandIn,
    store::{CallCounts, StoreStandIn},
};

use super::{CapacityOptions, configuration::ConfigurationSpec};

/// Numbers of daemons.
const HOSTS: [usize; 4] = [3, 6, 12, 24];
/// Runners of the engine upstream.
const RUNNERS: usize = 12;
/// Requests per second of each host.
const REQUESTS_PER_SECOND: f64 = 30.0;
/// Time at the start in which nothing is measured: pools get their owners.
const WARM_UP: Duration = Duration::from_secs(4);
/// Prefix of the names of a daemon's control thread and traffic threads.
const THREAD_NAME_PREFIX: &str = "actix-rt";
/// Metric that counts the bytes between daemons.
const PEER_BYTES: &str = "comfreyway_peer_bytes_total";
/// Number of a daemon's control threads. They start before traffic threads.
const CONTROL_THREADS: usize = 1;

/// Measures each number of daemons in [`HOSTS`].
pub(super) async fn hosts(options: &CapacityOptions) -> io::Result<Vec<Table>> {
    let columns = [
        "hosts",
        "answered/s",
        "control % mean",
        "control % max",
        "resident KiB max",
        "reads/s",
        "writes/s",
        "leases/s",
        "watches",
        "peer B/s mean",
        "peer B/s max",
    ];
    let mut table = Table::new("Daemons with one key-value service", &columns);
    let mut control = Vec::new();
    for count in HOSTS {
        let row = measure(count, options).await?;
        control.push((count as f64, row.0));
        table.push(row.1);
    }
    let mut fits = Table::new("Daemons: control by hosts: fit", &["% per host", "error"]);
    if let Some(fit) = Fit::new(&control) {
        let error = fit.slope_error.map_or("-".to_owned(), |e| format!("{e:.4}"));
        fits.push(vec![format!("{:.4}", fit.slope), error]);
    }
    Ok(vec![table, fits])
}

/// Counters of all daemons and of the store at one time.
struct Sample {
    calls: CallCounts,
    daemons: Vec<ProcessSample>,
    /// Payload bytes that each daemon has sent to others.
    peer_bytes: Vec<f64>,
}

async fn measure(count: usize, options: &CapacityOptions) -> io::Result<(f64, Vec<String>)> {
    let engine = EngineStandIn::start_all(&[ANY_PORT; RUNNERS], EngineSettings::new())?;
    let service = ServiceStandIn::start()?;
    let kv = StoreStandIn::start()?;
    let configuration = ConfigurationSpec {
        engines: engine.addresses().to_vec(),
        services: vec![service.address()],
        workspaces: 20,
        classes: 4,
    };
    store_configuration(&kv, &configuration).await?;
    let mut daemons = start_daemons(count, &kv)?;
    for daemon in &mut daemons {
        daemon.ready().await?;
    }
    let duration = options.duration();
    let loads: Vec<_> = daemons.iter().map(|daemon| start_load(daemon, duration)).collect();
    actix_rt::time::sleep(WARM_UP).await;
    let before = take_sample(&kv, &daemons).await?;
    actix_rt::time::sleep(duration).await;
    let after = take_sample(&kv, &daemons).await?;
    let mut answered = 0.0;
    for load in loads {
        answered += load.await.map_err(io::Error::other)?.requests_per_second();
    }
    let mut row = vec![count.to_string(), format!("{answered:.0}")];
    let mean = push_usage(&mut row, &before, &after, duration);
    Ok((mean, row))
}

/// Starts a load on one daemon.
fn start_load(daemon: &DaemonProcess, duration: Duration) -> JoinHandle<LoadResult> {
    let request = RequestTemplate::plain(daemon.settings().callers, "/survey/1");
    let pace = Pace::Open { per_second: REQUESTS_PER_SECOND };
    let spec = LoadSpec { request, pace, threads: 1, warm_up: WARM_UP, duration };
    spawn_blocking(move || load::run(&spec))
}

async fn take_sample(kv: &StoreStandIn, daemons: &[DaemonProcess]) -> io::Result<Sample> {
    let calls = kv.calls();
    let samples = daemons.iter().map(|daemon| ProcessSample::read(daemon.pid()));
    let samples = samples.collect::<io::Result<_>>()?;
    let mut peer_bytes = Vec::new();
    for daemon in daemons {
        let page = MetricsPage::parse(&daemon.metrics().await?);
        let sent = page.by_label(PEER_BYTES, "direction").get("sent").copied();
        peer_bytes.push(sent.unwrap_or_default());
    }
    Ok(Sample { calls, daemons: samples, peer_bytes })
}

/// Adds the columns for the time between two samples. Returns the mean CPU
/// use of control, in per cent of a core.
fn push_usage(row: &mut Vec<String>, before: &Sample, after: &Sample, time: Duration) -> f64 {
    let seconds = time.as_secs_f64();
    let percent = |(after, before): (&ProcessSample, &ProcessSample)| {
        let used = after.since(before);
        let control = used.total() - used.of_threads(THREAD_NAME_PREFIX, CONTROL_THREADS);
        100.0 * control.as_secs_f64() / seconds
    };
    let percents: Vec<_> = after.daemons.iter().zip(&before.daemons).map(percent).collect();
    let mean = percents.iter().sum::<f64>() / percents.len() as f64;
    let max = percents.iter().copied().fold(0.0, f64::max);
    let resident = after.daemons.iter().map(|sample| sample.resident_bytes >> 10).max();
    let leases = |calls: &CallCounts| calls.grant + calls.keep_alive + calls.revoke;
    let rate = |later: u64, earlier: u64| format!("{:.1}", (later - earlier) as f64 / seconds);
    row.extend([
        format!("{mean:.2}"),
        format!("{max:.2}"),
        resident.unwrap_or_default().to_string(),
        rate(after.calls.range, before.calls.range),
        rate(after.calls.txn, before.calls.txn),
        rate(leases(&after.calls), leases(&before.calls)),
        after.calls.waiting_watches.to_string(),
    ]);
    push_peer_bytes(row, before, after, seconds);
    mean
}

/// Adds the mean and the highest rate of bytes that a daemon sent to others.
fn push_peer_bytes(row: &mut Vec<String>, before: &Sample, after: &Sample, seconds: f64) {
    let sent = after.peer_bytes.iter().zip(&before.peer_bytes);
    let rates: Vec<_> = sent.map(|(after, before)| (after - before) / seconds).collect();
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    let max = rates.iter().copied().fold(0.0, f64::max);
    row.extend([format!("{mean:.0}"), format!("{max:.0}")]);
}

fn start_daemons(count: usize, kv: &StoreStandIn) -> io::Result<Vec<DaemonProcess>> {
    let settings: Vec<_> = (0..count)
        .map(|i| DaemonSettings::with_class_store(&format!("host-{i}"), kv.address()))
        .collect::<io::Result<_>>()?;
    let program = env::current_exe()?;
    settings
        .iter()
        .map(|own| {
            let others = settings.iter().filter(|other| other.name != own.name);
            let own = others.fold(own.clone().with_workers(1), |own, other| {
                own.with_peer(&other.name, other.peers)
            });
            DaemonProcess::start(&program, &[], own)
        })
        .collect()
}

/// Writes the configuration before any daemon starts.
async fn store_configuration(
    kv: &StoreStandIn,
    configuration: &ConfigurationSpec,
) -> io::Result<()> {
    let document =
        ini::read(&configuration.to_ini()).map_err(|e| io::Error::other(e.to_string()))?;
    let edits = document.elements().map(Edit::Set).collect();
    let to_io_error = |e: comfreyway_core::ids::IdError| io::Error::other(e.to_string());
    let author = "capacity".parse().map_err(to_io_error)?;
    let host = "capacity".parse().map_err(to_io_error)?;
    let writer = ConfigActor::start_on_control(host, Rc::new(kv.keys().clone()), Rc::new(NoPeers));
    let outcome = writer.change(Change { id: ChangeId::new(0, 1), author, edits }).await;
    writer.stop();
    match outcome {
        ChangeOutcome::Accepted { .. } => Ok(()),
        other => Err(io::Error::other(format!("the configuration was not accepted: {other:?}"))),
    }
}

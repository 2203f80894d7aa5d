//! One daemon before stand-ins.

use std::{env, io, net::SocketAddr, time::Duration};

use actix_rt::task::spawn_blocking;

use crate::{
    daemon::{DaemonProcess, DaemonSettings, TempDir},
    engine::{EngineSettings, EngineStandIn},
    load::{self, LoadResult, LoadSpec},
    measure::{CpuUsage, ProcessSample},
    server::ANY_PORT,
    service::ServiceStandIn,
};

use super::configuration::Configuration;

/// Threads that stand for engines.
const ENGINE_THREADS: usize = 4;
/// Age at which the daemon ignores a load report. One engine stands for many
/// runners here, so its load would count for each of them.
const NO_REPORT: Duration = Duration::from_secs(3600);
/// Runners that plain services stand for.
const SERVICES: usize = 4;
/// Start of the names of a daemon's control thread and traffic threads. The
/// control thread starts first.
const THREADS: &str = "actix-rt";
/// Control threads of a daemon.
const CONTROL_THREADS: usize = 1;
/// Threads that carry callers' traffic.
const WORKERS: usize = 1;

/// One daemon before stand-ins.
pub(super) struct Rig {
    pub(super) daemon: DaemonProcess,
    pub(super) engines: Vec<EngineStandIn>,
    pub(super) services: Vec<ServiceStandIn>,
    _dir: TempDir,
}

/// What a load saw and what the daemon used for it.
pub(super) struct Run {
    pub(super) load: LoadResult,
    pub(super) traffic: Duration,
    pub(super) control: Duration,
    pub(super) elapsed: Duration,
}

impl Rig {
    /// Starts stand-ins for this many runners and one daemon.
    pub(super) async fn start(runners: usize, engine: EngineSettings) -> io::Result<Self> {
        let addresses = vec![ANY_PORT; runners.div_ceil(ENGINE_THREADS)];
        let engines: Vec<_> = (0..ENGINE_THREADS)
            .map(|_| EngineStandIn::start_all(&addresses, engine.clone().with_load_lag(NO_REPORT)))
            .collect::<io::Result<_>>()?;
        let services: Vec<_> =
            (0..SERVICES).map(|_| ServiceStandIn::start()).collect::<io::Result<_>>()?;
        let configuration = Configuration {
            engines: engines.iter().flat_map(EngineStandIn::addresses).copied().collect(),
            services: services.iter().map(ServiceStandIn::address).collect(),
            workspaces: 5,
            classes: 4,
        };
        let dir = TempDir::new()?;
        let file = dir.write("configuration.ini", &configuration.text())?;
        let settings = DaemonSettings::with_embedded("host-1", &file)?
            .with_workers(WORKERS)
            .with_limit("connections", "20000");
        let mut daemon = DaemonProcess::start(&env::current_exe()?, &[], settings)?;
        if let Err(e) = daemon.ready().await {
            return Err(io::Error::other(format!("{e}; its log:\n{}", daemon.log())));
        }
        Ok(Self { daemon, engines, services, _dir: dir })
    }

    pub(super) fn callers(&self) -> SocketAddr {
        self.daemon.settings().callers
    }

    pub(super) fn sample(&self) -> io::Result<ProcessSample> {
        ProcessSample::read(self.daemon.pid())
    }

    /// Holds a load and reads what the daemon used while it was counted.
    pub(super) async fn run(&self, spec: LoadSpec) -> io::Result<Run> {
        let (warm_up, duration) = (spec.warm_up, spec.duration);
        let load = spawn_blocking(move || load::run(&spec));
        actix_rt::time::sleep(warm_up).await;
        let before = self.sample()?;
        actix_rt::time::sleep(duration).await;
        let used: CpuUsage = self.sample()?.since(&before);
        let load = load.await.map_err(io::Error::other)?;
        let traffic = used.of_threads(THREADS, CONTROL_THREADS);
        Ok(Run { load, traffic, control: used.total() - traffic, elapsed: duration })
    }
}

/// Holds a load that does not go through a daemon.
pub(super) async fn direct(spec: LoadSpec) -> io::Result<LoadResult> {
    spawn_blocking(move || load::run(&spec)).await.map_err(io::Error::other)
}

impl Run {
    /// Share of a core that the traffic threads used, in per cent.
    pub(super) fn traffic_percent(&self) -> f64 {
        100.0 * self.traffic.as_secs_f64() / self.elapsed.as_secs_f64()
    }

    /// Share of a core that all other threads used, in per cent.
    pub(super) fn control_percent(&self) -> f64 {
        100.0 * self.control.as_secs_f64() / self.elapsed.as_secs_f64()
    }

    /// Processor time of the whole daemon, in seconds per second.
    pub(super) fn cores(&self) -> f64 {
        (self.traffic + self.control).as_secs_f64() / self.elapsed.as_secs_f64()
    }
}

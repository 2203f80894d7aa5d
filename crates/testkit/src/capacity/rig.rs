//! Test rig: one daemon in front of stand-ins.

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

use super::configuration::ConfigurationSpec;

/// Engine stand-ins, each with a thread and an address per runner.
const ENGINES: usize = 4;
/// Age of load reports, so high that the daemon ignores them. One stand-in
/// serves many runners, so its whole load would count for each of them.
const LOAD_LAG: Duration = Duration::from_secs(3600);
/// Stand-ins of plain services, one for each runner.
const SERVICES: usize = 4;
/// Prefix of the names of a daemon's control thread and traffic threads. The
/// control thread starts first.
const THREAD_NAME_PREFIX: &str = "actix-rt";
/// Number of a daemon's control threads.
const CONTROL_THREADS: usize = 1;
/// Traffic threads of the daemon.
const WORKERS: usize = 1;

/// One daemon in front of stand-ins.
pub(super) struct Rig {
    pub(super) daemon: DaemonProcess,
    pub(super) engines: Vec<EngineStandIn>,
    pub(super) services: Vec<ServiceStandIn>,
    _dir: TempDir,
}

/// Results of a load and the CPU time that the daemon used for it.
pub(super) struct Measurement {
    pub(super) load: LoadResult,
    pub(super) traffic_cpu: Duration,
    pub(super) control_cpu: Duration,
    pub(super) elapsed: Duration,
}

impl Rig {
    /// Starts stand-ins for this many engine runners, and one daemon.
    pub(super) async fn start(runners: usize, engine: EngineSettings) -> io::Result<Self> {
        let addresses = vec![ANY_PORT; runners.div_ceil(ENGINES)];
        let engines: Vec<_> = (0..ENGINES)
            .map(|_| EngineStandIn::start_all(&addresses, engine.clone().with_load_lag(LOAD_LAG)))
            .collect::<io::Result<_>>()?;
        let services: Vec<_> =
            (0..SERVICES).map(|_| ServiceStandIn::start()).collect::<io::Result<_>>()?;
        let configuration = ConfigurationSpec {
            engines: engines.iter().flat_map(EngineStandIn::addresses).copied().collect(),
            services: services.iter().map(ServiceStandIn::address).collect(),
            workspaces: 5,
            classes: 4,
        };
        let dir = TempDir::new()?;
        let file = dir.write("configuration.ini", &configuration.to_ini())?;
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

    /// Runs a load and measures the daemon's CPU time while the load counts.
    pub(super) async fn run(&self, spec: LoadSpec) -> io::Result<Measurement> {
        let (warm_up, duration) = (spec.warm_up, spec.duration);
        let load = spawn_blocking(move || load::run(&spec));
        actix_rt::time::sleep(warm_up).await;
        let before = self.sample()?;
        actix_rt::time::sleep(duration).await;
        let used: CpuUsage = self.sample()?.since(&before);
        let load = load.await.map_err(io::Error::other)?;
        let traffic_cpu = used.of_threads(THREAD_NAME_PREFIX, CONTROL_THREADS);
        Ok(Measurement {
            load,
            traffic_cpu,
            control_cpu: used.total() - traffic_cpu,
            elapsed: duration,
        })
    }
}

/// Runs a load that does not pass through a daemon.
pub(super) async fn run_direct(spec: LoadSpec) -> io::Result<LoadResult> {
    spawn_blocking(move || load::run(&spec)).await.map_err(io::Error::other)
}

impl Measurement {
    /// Returns the CPU use of the traffic threads, in per cent of a core.
    pub(super) fn traffic_percent(&self) -> f64 {
        100.0 * self.traffic_cpu.as_secs_f64() / self.elapsed.as_secs_f64()
    }

    /// Returns the CPU use of all other threads, in per cent of a core.
    pub(super) fn control_percent(&self) -> f64 {
        100.0 * self.control_cpu.as_secs_f64() / self.elapsed.as_secs_f64()
    }

    /// Returns the CPU use of the whole daemon, in cores.
    pub(super) fn cores(&self) -> f64 {
        (self.traffic_cpu + self.control_cpu).as_secs_f64() / self.elapsed.as_secs_f64()
    }
}

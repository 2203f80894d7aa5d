//! CPU time of control and memory by runners, workspaces, classes and load.

use std::{env, io, time::Duration};

use actix_rt::task::spawn_blocking;

use crate::{
    daemon::{DaemonProcess, DaemonSettings, TempDir},
    engine::{EngineSettings, EngineStandIn},
    load::{self, LoadSpec, Pace, RequestTemplate},
    measure::{Fit, ProcessSample, Table},
    server::ANY_PORT,
    service::ServiceStandIn,
};

use super::{CapacityOptions, configuration::ConfigurationSpec};

/// Time at the start in which nothing is measured.
const WARM_UP: Duration = Duration::from_secs(2);
/// Prefix of the names of a daemon's control thread and traffic threads.
const THREAD_NAME_PREFIX: &str = "actix-rt";
/// Number of a daemon's control threads. They start before traffic threads.
const CONTROL_THREADS: usize = 1;

/// Sizes of one run.
#[derive(Clone, Copy, Debug)]
struct Sizes {
    runners: usize,
    workspaces: usize,
    classes: usize,
    requests_per_second: usize,
}

/// Sizes at a factor of 1.
const BASE: Sizes = Sizes { runners: 12, workspaces: 20, classes: 4, requests_per_second: 100 };

/// Dimension that is scaled while the others stay.
struct Dimension {
    name: &'static str,
    scale: fn(Sizes, usize) -> Sizes,
    size: fn(Sizes) -> usize,
}

const DIMENSIONS: [Dimension; 4] = [
    Dimension {
        name: "runners",
        scale: |s, factor| Sizes { runners: s.runners * factor, ..s },
        size: |s| s.runners,
    },
    Dimension {
        name: "workspaces",
        scale: |s, factor| Sizes { workspaces: s.workspaces * factor, ..s },
        size: |s| s.workspaces,
    },
    Dimension {
        name: "classes",
        scale: |s, factor| Sizes { classes: s.classes * factor, ..s },
        size: |s| s.classes,
    },
    Dimension {
        name: "requests/s",
        scale: |s, factor| Sizes { requests_per_second: s.requests_per_second * factor, ..s },
        size: |s| s.requests_per_second,
    },
];

/// Resource use of one run.
struct ResourceUsage {
    control_percent: f64,
    resident_kib: f64,
    answered_per_second: f64,
}

/// Measures each dimension at 1, 2 and 4 times its base size.
pub(super) async fn scale_dimensions(options: &CapacityOptions) -> io::Result<Vec<Table>> {
    let columns = ["dimension", "size", "answered/s", "control % of a core", "resident KiB"];
    let mut table = Table::new("Control of one daemon that owns its pools", &columns);
    let columns = ["dimension", "control % per unit", "error", "bytes per unit", "error"];
    let mut fits = Table::new("Control of one daemon that owns its pools: fit", &columns);
    for dimension in &DIMENSIONS {
        let mut control = Vec::new();
        let mut memory = Vec::new();
        for factor in [1, 2, 4] {
            let sizes = (dimension.scale)(BASE, factor);
            let size = (dimension.size)(sizes);
            let usage = measure(sizes, options).await?;
            control.push((size as f64, usage.control_percent));
            memory.push((size as f64, usage.resident_kib * 1024.0));
            table.push(vec![
                dimension.name.to_owned(),
                size.to_string(),
                format!("{:.0}", usage.answered_per_second),
                format!("{:.2}", usage.control_percent),
                format!("{:.0}", usage.resident_kib),
            ]);
        }
        let mut row = vec![dimension.name.to_owned()];
        row.extend(fit_cells(&control, 5));
        row.extend(fit_cells(&memory, 0));
        fits.push(row);
    }
    Ok(vec![table, fits])
}

fn fit_cells(points: &[(f64, f64)], digits: usize) -> [String; 2] {
    let Some(fit) = Fit::new(points) else { return ["-".to_owned(), "-".to_owned()] };
    let error = fit.slope_error.map_or("-".to_owned(), |e| format!("{e:.digits$}"));
    [format!("{:.digits$}", fit.slope), error]
}

async fn measure(sizes: Sizes, options: &CapacityOptions) -> io::Result<ResourceUsage> {
    let engine = EngineStandIn::start_all(&vec![ANY_PORT; sizes.runners], EngineSettings::new())?;
    let service = ServiceStandIn::start()?;
    let configuration = ConfigurationSpec {
        engines: engine.addresses().to_vec(),
        services: vec![service.address()],
        workspaces: sizes.workspaces,
        classes: sizes.classes,
    };
    let dir = TempDir::new()?;
    let file = dir.write("configuration.ini", &configuration.to_ini())?;
    let settings = DaemonSettings::with_embedded("host-1", &file)?.with_workers(1);
    let mut daemon = DaemonProcess::start(&env::current_exe()?, &[], settings)?;
    daemon.ready().await?;
    let request = RequestTemplate::plain(daemon.settings().callers, "/survey/1");
    let duration = options.duration();
    let spec = LoadSpec {
        request: request.with_workspaces(sizes.workspaces),
        pace: Pace::Open { per_second: sizes.requests_per_second as f64 },
        threads: 1,
        warm_up: WARM_UP,
        duration,
    };
    let load = spawn_blocking(move || load::run(&spec));
    actix_rt::time::sleep(WARM_UP).await;
    let before = ProcessSample::read(daemon.pid())?;
    actix_rt::time::sleep(duration).await;
    let after = ProcessSample::read(daemon.pid())?;
    let used = after.since(&before);
    let control = used.total() - used.of_threads(THREAD_NAME_PREFIX, CONTROL_THREADS);
    let load = load.await.map_err(io::Error::other)?;
    Ok(ResourceUsage {
        control_percent: 100.0 * control.as_secs_f64() / duration.as_secs_f64(),
        resident_kib: after.resident_bytes as f64 / 1024.0,
        answered_per_second: load.requests_per_second(),
    })
}

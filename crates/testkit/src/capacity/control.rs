//! Cost of control by hosts, runners, workspaces, classes and load.

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

use super::{CapacityOptions, configuration::Configuration};

/// Time that is not counted at the start.
const WARM_UP: Duration = Duration::from_secs(2);
/// Start of the names of a daemon's control thread and traffic threads.
const THREADS: &str = "actix-rt";
/// Control threads of a daemon.
const CONTROL_THREADS: usize = 1;

/// Sizes of one run.
#[derive(Clone, Copy, Debug)]
struct Sizes {
    runners: usize,
    workspaces: usize,
    classes: usize,
    requests_per_second: usize,
}

/// Sizes at 1×.
const BASE: Sizes = Sizes { runners: 12, workspaces: 20, classes: 4, requests_per_second: 100 };

/// One dimension that is grown alone.
struct Dimension {
    name: &'static str,
    scale: fn(Sizes, usize) -> Sizes,
    size: fn(Sizes) -> usize,
}

const DIMENSIONS: [Dimension; 4] = [
    Dimension {
        name: "runners",
        scale: |s, by| Sizes { runners: s.runners * by, ..s },
        size: |s| s.runners,
    },
    Dimension {
        name: "workspaces",
        scale: |s, by| Sizes { workspaces: s.workspaces * by, ..s },
        size: |s| s.workspaces,
    },
    Dimension {
        name: "classes",
        scale: |s, by| Sizes { classes: s.classes * by, ..s },
        size: |s| s.classes,
    },
    Dimension {
        name: "requests/s",
        scale: |s, by| Sizes { requests_per_second: s.requests_per_second * by, ..s },
        size: |s| s.requests_per_second,
    },
];

/// What one run cost.
struct Cost {
    control_percent: f64,
    resident_kib: f64,
    answered_per_second: f64,
}

/// Grows each dimension alone to 2× and 4×.
pub(super) async fn dimensions(options: &CapacityOptions) -> io::Result<Vec<Table>> {
    let columns = ["dimension", "size", "answered/s", "control % of a core", "resident KiB"];
    let mut table = Table::new("Control of one daemon that owns its pools", &columns);
    let columns = ["dimension", "control % per unit", "error", "bytes per unit", "error"];
    let mut fits = Table::new("Control of one daemon that owns its pools: fit", &columns);
    for dimension in &DIMENSIONS {
        let mut control = Vec::new();
        let mut memory = Vec::new();
        for by in [1, 2, 4] {
            let sizes = (dimension.scale)(BASE, by);
            let size = (dimension.size)(sizes);
            let cost = run(sizes, options).await?;
            control.push((size as f64, cost.control_percent));
            memory.push((size as f64, cost.resident_kib * 1024.0));
            table.push(vec![
                dimension.name.to_owned(),
                size.to_string(),
                format!("{:.0}", cost.answered_per_second),
                format!("{:.2}", cost.control_percent),
                format!("{:.0}", cost.resident_kib),
            ]);
        }
        let mut row = vec![dimension.name.to_owned()];
        row.extend(cells(&control, 5));
        row.extend(cells(&memory, 0));
        fits.push(row);
    }
    Ok(vec![table, fits])
}

fn cells(points: &[(f64, f64)], digits: usize) -> [String; 2] {
    let Some(fit) = Fit::new(points) else { return ["-".to_owned(), "-".to_owned()] };
    let error = fit.slope_error.map_or("-".to_owned(), |e| format!("{e:.digits$}"));
    [format!("{:.digits$}", fit.slope), error]
}

async fn run(sizes: Sizes, options: &CapacityOptions) -> io::Result<Cost> {
    let engine = EngineStandIn::start_all(&vec![ANY_PORT; sizes.runners], EngineSettings::new())?;
    let service = ServiceStandIn::start()?;
    let configuration = Configuration {
        engines: engine.addresses().to_vec(),
        services: vec![service.address()],
        workspaces: sizes.workspaces,
        classes: sizes.classes,
    };
    let dir = TempDir::new()?;
    let file = dir.write("configuration.ini", &configuration.text())?;
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
    let control = used.total() - used.of_threads(THREADS, CONTROL_THREADS);
    let load = load.await.map_err(io::Error::other)?;
    Ok(Cost {
        control_percent: 100.0 * control.as_secs_f64() / duration.as_secs_f64(),
        resident_kib: after.resident_bytes as f64 / 1024.0,
        answered_per_second: load.requests_per_second(),
    })
}

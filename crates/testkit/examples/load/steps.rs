//! Steps of the measurement.

use std::{error::Error, io, net::SocketAddr, thread, time::Duration};

use comfreyway_testkit::{
    load::{LoadResult, LoadSpec, Pace, RequestTemplate, run as run_load},
    measure::{CpuUsage, ProcessSample, Table},
};

use crate::{delay, idle, report, rig::Rig, upstream};

/// Why the measurement failed.
pub(crate) type Failure = Box<dyn Error>;

/// Measured time of one step.
const STEP_TIME: Duration = Duration::from_secs(5);

/// Time at the start of a step in which nothing is measured.
const WARM_UP: Duration = Duration::from_secs(2);

/// Threads that generate the load.
const THREADS: usize = 3;

/// Callers of the plain service that send requests back to back.
const PLAIN_CALLERS: usize = 32;

/// Plain requests per second in the step with a fixed rate.
const PLAIN_RATE_PER_S: f64 = 2_500.0;

/// Concurrent callers of streams, by step.
const STREAM_CALLERS: [usize; 3] = [100, 200, 500];

/// Events of one stream.
const EVENTS: u32 = 200;
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// Runs every step and prints the tables.
pub(crate) fn run() -> Result<(), Failure> {
    let mut table = report::table();
    let rig = Rig::start(upstream::start(EVENTS, EVENT_INTERVAL)?)?;
    let plain = |address| RequestTemplate::plain(address, "/portal/racks/17");
    let closed = Pace::Closed { callers: PLAIN_CALLERS };
    step(&mut table, &rig, "plain, closed", plain, closed)?;
    let open = Pace::Open { per_second: PLAIN_RATE_PER_S };
    step(&mut table, &rig, "plain, 2500/s", plain, open)?;
    let stream = |address| RequestTemplate::stream(address, "Hi", EVENTS);
    for callers in STREAM_CALLERS {
        let name = format!("{callers} streams");
        step(&mut table, &rig, &name, stream, Pace::Closed { callers })?;
    }
    println!("{}", table.text());
    println!("{}", delay::measure(&rig)?.text());
    drop(rig);
    println!("{}", idle::measure()?.text());
    Ok(())
}

/// Applies one load, directly and through the daemon.
fn step<F>(table: &mut Table, rig: &Rig, name: &str, request: F, pace: Pace) -> Result<(), Failure>
where
    F: Fn(SocketAddr) -> RequestTemplate,
{
    let result = apply_load(request(rig.upstream()), pace);
    report::push_direct(table, name, &result);
    let pid = rig.pid();
    let sampling = thread::spawn(move || sample_step(pid));
    let result = apply_load(request(rig.callers()), pace);
    let used = sampling.join().map_err(|_| "the sampling thread panicked")??;
    report::push_daemon(table, name, &result, &used, STEP_TIME);
    Ok(())
}

/// Measures the daemon's CPU time in a step that begins now.
fn sample_step(pid: u32) -> io::Result<CpuUsage> {
    thread::sleep(WARM_UP);
    let before = ProcessSample::read(pid)?;
    thread::sleep(STEP_TIME);
    Ok(ProcessSample::read(pid)?.since(&before))
}

fn apply_load(request: RequestTemplate, pace: Pace) -> LoadResult {
    run_load(&LoadSpec { request, pace, threads: THREADS, warm_up: WARM_UP, duration: STEP_TIME })
}

//! The steps of the measurement.

use std::{error::Error, io, net::SocketAddr, thread, time::Duration};

use comfreyway_testkit::{
    load::{LoadResult, LoadSpec, Pace, RequestTemplate, run as make_load},
    measure::{CpuUsage, ProcessSample, Table},
};

use crate::{bench::Bench, delay, idle, report, source};

/// Why the measurement failed.
pub(crate) type Failure = Box<dyn Error>;

/// Counted time of one step.
const STEP: Duration = Duration::from_secs(5);

/// Time of a step that is not counted.
const WARM_UP: Duration = Duration::from_secs(2);

/// Threads that make the load.
const THREADS: usize = 3;

/// Callers of a plain service that ask again at once.
const PLAIN_CALLERS: usize = 32;

/// Plain requests a second in the step with a fixed pace.
const PLAIN_PACE: f64 = 2_500.0;

/// Callers that read streams at once, by step.
const STREAM_CALLERS: [usize; 3] = [100, 200, 500];

/// Events of one stream, and the time between two.
const EVENTS: u32 = 200;
const PAUSE: Duration = Duration::from_millis(10);

/// Runs every step and prints the tables.
pub(crate) fn run() -> Result<(), Failure> {
    let mut table = report::table();
    let bench = Bench::start(source::start(EVENTS, PAUSE)?)?;
    let plain = |address| RequestTemplate::plain(address, "/portal/racks/17");
    let closed = Pace::Closed { callers: PLAIN_CALLERS };
    step(&mut table, &bench, "plain, closed", plain, closed)?;
    let open = Pace::Open { per_second: PLAIN_PACE };
    step(&mut table, &bench, "plain, 2500/s", plain, open)?;
    let stream = |address| RequestTemplate::stream(address, "Hi", EVENTS);
    for callers in STREAM_CALLERS {
        let name = format!("{callers} streams");
        step(&mut table, &bench, &name, stream, Pace::Closed { callers })?;
    }
    println!("{}", table.text());
    println!("{}", delay::measure(&bench)?.text());
    drop(bench);
    println!("{}", idle::measure()?.text());
    Ok(())
}

/// One load, straight and through the daemon.
fn step<F>(
    table: &mut Table,
    bench: &Bench,
    name: &str,
    request: F,
    pace: Pace,
) -> Result<(), Failure>
where
    F: Fn(SocketAddr) -> RequestTemplate,
{
    let result = hold(request(bench.source()), pace);
    report::push_direct(table, name, &result);
    let pid = bench.pid();
    let sampling = thread::spawn(move || use_within_step(pid));
    let result = hold(request(bench.callers()), pace);
    let used = sampling.join().map_err(|_| "the sampling thread panicked")??;
    report::push_daemon(table, name, &result, &used, STEP);
    Ok(())
}

/// What the daemon uses in the counted time of a step that begins now.
fn use_within_step(pid: u32) -> io::Result<CpuUsage> {
    thread::sleep(WARM_UP);
    let before = ProcessSample::read(pid)?;
    thread::sleep(STEP);
    Ok(ProcessSample::read(pid)?.since(&before))
}

fn hold(request: RequestTemplate, pace: Pace) -> LoadResult {
    make_load(&LoadSpec { request, pace, threads: THREADS, warm_up: WARM_UP, duration: STEP })
}

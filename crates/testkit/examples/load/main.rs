//! Measures the data path of one daemon, compared with direct connections.
//!
//!     cargo run --release -p comfreyway-testkit --example load
//!
//! Starts a minimal upstream and one daemon with one worker thread, applies
//! several loads, and prints for each of them the throughput, the daemon's CPU
//! time and the callers' latencies. The example executes itself for the daemon:
//! with `--config` on the command line it runs as one.

mod delay;
mod idle;
mod report;
mod rig;
mod steps;
mod upstream;

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    if env::args().any(|arg| arg == "--config") {
        return comfreyway_node::run::main(comfreyway_adapter::platform());
    }
    match steps::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("load: {e}");
            ExitCode::FAILURE
        }
    }
}

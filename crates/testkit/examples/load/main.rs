//! What one daemon carries on its data path, against going straight.
//!
//!     cargo run --release -p comfreyway-testkit --example load
//!
//! Starts a source of tokens, a plain service and one daemon with one worker
//! thread, holds a load, and prints for each step what was carried, what it
//! cost the daemon, and the times seen by the callers. The example executes
//! itself again as the daemon: with `--config` on its command line it is one.

mod bench;
mod delay;
mod idle;
mod report;
mod source;
mod trial;

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    if env::args().any(|arg| arg == "--config") {
        return comfreyway_node::run::main(comfreyway_adapter::platform());
    }
    match trial::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("load: {e}");
            ExitCode::FAILURE
        }
    }
}

//! Measures the resource use of a daemon and how it scales; see
//! `docs/CAPACITY.md`.
//!
//! The example executes itself for each daemon: with `--config` on the command
//! line it runs as a daemon. The daemons are killed by process ID: at the end,
//! on failure and on Ctrl-C.

use std::{env, process::ExitCode};

use comfreyway_testkit::capacity::{measure, options};

fn main() -> ExitCode {
    if env::args().any(|arg| arg == "--config") {
        return comfreyway_node::run::main(comfreyway_adapter::platform());
    }
    let options = options().run();
    let result = actix_rt::System::new().block_on(async {
        tokio::select! {
            result = measure(&options) => result.map_err(|e| e.to_string()),
            _ = tokio::signal::ctrl_c() => Err("interrupted".to_owned()),
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("capacity: {e}");
            ExitCode::FAILURE
        }
    }
}

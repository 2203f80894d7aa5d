//! Measures what a daemon costs and how that grows; see `docs/CAPACITY.md`.
//!
//! The example executes itself again for each daemon: with `--config` on its
//! command line it is a daemon. Every daemon is ended by its process number, at
//! the end, on failure and on Ctrl-C alike.

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

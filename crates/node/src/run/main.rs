//! Entry point of the daemon's binary.

use std::process::ExitCode;

use crate::cli::{EXIT_BAD_SETTINGS, Prepared, daemon_command, prepare};

use super::run;

/// Log level unless `RUST_LOG` says otherwise.
const DEFAULT_LOG_FILTER: &str = "info";

/// Reads the command line and runs the daemon.
#[must_use]
pub fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(DEFAULT_LOG_FILTER))
        .init();
    let command = daemon_command().run();
    match prepare(&command) {
        Ok(Prepared::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Prepared::Run(settings)) => match run(*settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("comfreywayd: {e}");
                ExitCode::FAILURE
            }
        },
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}

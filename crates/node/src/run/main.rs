//! Entry point of the daemon's binary.

use std::process::ExitCode;

use crate::{
    cli::{EXIT_BAD_SETTINGS, Prepared, daemon_command, prepare},
    fleet::{self, FleetPlatform},
    logging::QueueWriter,
    settings::{Platform, Settings},
};

use super::{RunError, run};

/// Log filter if `RUST_LOG` is not set.
const DEFAULT_LOG_FILTER: &str = "info";

/// Parses the command line and runs the daemon. `platform` creates the store
/// clients if the settings name a store.
#[must_use]
pub fn main(platform: FleetPlatform) -> ExitCode {
    let env = env_logger::Env::default().default_filter_or(DEFAULT_LOG_FILTER);
    let mut log = env_logger::Builder::from_env(env);
    let drain = match QueueWriter::start(std::io::stdout()) {
        Ok(writer) => {
            let drain = writer.drain();
            // Milliseconds allow merging the logs of several hosts by time.
            log.format_timestamp_millis();
            log.target(env_logger::Target::Pipe(Box::new(writer))).init();
            Some(drain)
        }
        Err(e) => {
            log.init();
            log::error!("can't start the log queue, writing the log directly: {e}");
            None
        }
    };
    let code = run_command(platform);
    if let Some(drain) = drain {
        drain.wait();
    }
    code
}

fn run_command(platform: FleetPlatform) -> ExitCode {
    let command = daemon_command().run();
    match prepare(&command) {
        Ok(Prepared::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Prepared::Run(settings)) => match start(*settings, platform) {
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

fn start(settings: Settings, platform: FleetPlatform) -> Result<(), RunError> {
    match &settings.platform {
        Platform::FleetStore(fleet) => fleet::run(&settings, fleet, platform),
        Platform::Embedded { .. } | Platform::ClassStore { .. } => run(settings, platform),
    }
}

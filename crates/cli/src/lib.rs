//! Library of the operators' client `comfreyway`.
//!
//! - `commands` parses the command line, with one file for each subcommand.
//! - [`ops`] holds the operations of the commands, usable without a command
//!   line.
//! - [`explain`] explains requests from logs.
//! - [`output`] prints results.

mod commands;
mod error;
mod exit;
pub mod explain;
mod globals;
pub mod ops;
pub mod output;

use std::process::ExitCode;

pub use self::{error::CliError, exit::Exit};

/// Width of the help text, in columns.
const HELP_WIDTH: usize = 80;

/// Parses the command line, runs the command and returns the exit code.
#[must_use]
pub fn main() -> ExitCode {
    let (globals, command) = match commands::options().run_inner(bpaf::Args::current_args()) {
        Ok(parsed) => parsed,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            let wrong = failure.exit_code() != 0;
            return if wrong { Exit::Usage.into() } else { ExitCode::SUCCESS };
        }
    };
    let result = actix_rt::System::new().block_on(command.run(&globals));
    match result {
        Ok(exit) => exit.into(),
        Err(e) => {
            eprintln!("comfreyway: {e}");
            e.exit().into()
        }
    }
}

//! The operators' client. The work is done by `comfreyway-cli`.

use std::process::ExitCode;

fn main() -> ExitCode {
    comfreyway_cli::main()
}

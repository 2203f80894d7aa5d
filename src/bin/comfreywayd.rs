//! The daemon. The work is done by `comfreyway-node`.

use std::process::ExitCode;

fn main() -> ExitCode {
    comfreyway_node::run::main(comfreyway_adapter::platform())
}

//! Starts stand-ins and daemons, sends a few requests and prints the responses
//! with their outcomes.
//!
//! The example executes itself for each daemon: with `--config` on the command
//! line it runs as a daemon.

mod calls;
mod cluster;

use std::{env, process::ExitCode};

use self::{
    calls::{show_refusal, show_response, show_service, show_stream},
    cluster::Cluster,
};

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    if env::args().any(|arg| arg == "--config") {
        return comfreyway_node::run::main(comfreyway_adapter::platform());
    }
    match actix_rt::System::new().block_on(run_quickstart()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("quickstart: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run_quickstart() -> Result<(), Failure> {
    let mut cluster = Cluster::start().await?;
    let callers = cluster.callers();
    println!(
        "{} daemons in front of {} engines and a plain service.",
        callers.len(),
        cluster.engine_count()
    );
    for address in &callers {
        println!("  callers' port http://{address}");
    }
    println!("\n1. A streamed quote (not idempotent, so it has an idempotency key):");
    show_stream(callers[0]).await?;
    println!("2. A triage with a whole response, from another host:");
    show_response(callers[1]).await?;
    println!("3. A lookup at the plain service:");
    show_service(callers[2]).await?;
    println!("4. A quote without an idempotency key is refused before it runs:");
    show_refusal(callers[0]).await?;
    println!("5. The first host stops as planned; another one answers:");
    cluster.stop_first().await?;
    show_response(callers[1]).await?;
    let (engines, portal) = cluster.run_counts();
    println!("The engines ran {engines} requests, the service {portal}.");
    Ok(())
}

//! Starts stand-ins and daemons, sends a few requests and prints the answers
//! with their outcomes.
//!
//! The example executes itself again for each daemon: with `--config` on its
//! command line it is a daemon.

mod calls;
mod fleet;

use std::{env, process::ExitCode};

use self::{
    calls::{show_answer, show_refusal, show_service, show_stream},
    fleet::Fleet,
};

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    if env::args().any(|arg| arg == "--config") {
        return comfreyway_node::run::main(comfreyway_adapter::platform());
    }
    match actix_rt::System::new().block_on(tour()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("quickstart: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn tour() -> Result<(), Failure> {
    let mut fleet = Fleet::start().await?;
    let callers = fleet.callers();
    println!("{} daemons before {} engines and a plain service.", callers.len(), fleet.engines());
    for address in &callers {
        println!("  callers' port http://{address}");
    }
    println!("\n1. A streamed quote (not idempotent, so it carries an identity):");
    show_stream(callers[0]).await?;
    println!("2. A triage answered in one piece, by another host:");
    show_answer(callers[1]).await?;
    println!("3. A lookup at the plain service:");
    show_service(callers[2]).await?;
    println!("4. A quote without an identity is refused before it runs:");
    show_refusal(callers[0]).await?;
    println!("5. The first host stops as planned; another one answers:");
    fleet.stop_first().await?;
    show_answer(callers[1]).await?;
    let (engines, portal) = fleet.runs();
    println!("The engines ran {engines} requests, the service {portal}.");
    Ok(())
}

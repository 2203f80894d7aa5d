//! Compares the scheduler with baseline policies in virtual time.
//!
//! ```text
//! cargo run -p comfreyway-testkit --release --example experiment -- \
//!     --workload derwent --load 1.5 --scenario steady --csv figures.csv
//! ```
//!
//! `--workload`, `--load`, `--scenario` and `--policy` select cases; without
//! them, all cases run. `--load` can be given more than once.

use std::{fs, io, path::PathBuf};

use bpaf::{OptionParser, Parser, construct, long};
use comfreyway_testkit::experiment::{
    AYAQ, DERWENT, Policy, Scenario, Selection, Workload, check, csv, run_all, table,
};

/// Loads that run without `--load`.
const LOADS: [f64; 4] = [0.7, 1.0, 1.5, 3.0];

/// Seed without `--seed`.
const SEED: u64 = 1;

#[derive(Clone, Debug)]
struct Args {
    workload: Option<String>,
    load: Vec<f64>,
    scenario: Option<String>,
    policy: Option<String>,
    seed: u64,
    csv: Option<PathBuf>,
    details: bool,
}

fn args() -> OptionParser<Args> {
    let workload = long("workload").help("ayaq or derwent").argument("NAME").optional();
    let load = long("load").help("Multiple of the pool's capacity").argument("X").many();
    let scenario = long("scenario")
        .help("steady, burst, slow-engine, stale-reports or runner-lost")
        .argument("NAME")
        .optional();
    let policy = long("policy")
        .help("comfreyway, round-robin, least-reported or two-choices")
        .argument("NAME")
        .optional();
    let seed = long("seed").help("Seed of the arrivals").argument("N").fallback(SEED);
    let csv = long("csv").help("Write the figures to this file").argument("FILE").optional();
    let details = long("details")
        .help("Print the state of the scheduler at the end of the arrivals")
        .switch();
    construct!(Args { workload, load, scenario, policy, seed, csv, details })
        .to_options()
        .descr("Compares the scheduler with baseline policies in virtual time")
}

fn main() -> io::Result<()> {
    let args = args().run();
    let workloads: Vec<Workload> = [AYAQ, DERWENT].into_iter().collect();
    let selection = Selection {
        workloads: select(workloads, args.workload.as_deref(), |w| w.name.to_owned())?,
        loads: if args.load.is_empty() { LOADS.to_vec() } else { args.load },
        scenarios: select(Scenario::ALL.to_vec(), args.scenario.as_deref(), Scenario::to_string)?,
        policies: select(Policy::ALL.to_vec(), args.policy.as_deref(), Policy::to_string)?,
        seed: args.seed,
    };
    let rows = run_all(&selection);
    let text = table(&rows, &check(&rows)).map_err(io::Error::other)?;
    println!("{text}");
    if args.details {
        for row in rows.iter().filter(|row| !row.details.is_empty()) {
            println!(
                "{} {}x {}\n{}",
                row.case.workload.name, row.case.load, row.case.scenario, row.details
            );
        }
    }
    if let Some(file) = args.csv {
        fs::write(file, csv(&rows).map_err(io::Error::other)?)?;
    }
    Ok(())
}

/// Returns the values with this name, or all values without a name.
fn select<T, F>(all: Vec<T>, name: Option<&str>, name_of: F) -> io::Result<Vec<T>>
where
    F: Fn(&T) -> String,
{
    let Some(name) = name else { return Ok(all) };
    let names = all.iter().map(&name_of).collect::<Vec<_>>().join(", ");
    let found: Vec<T> = all.into_iter().filter(|value| name_of(value) == name).collect();
    if found.is_empty() {
        return Err(io::Error::other(format!("unknown name {name}; expected one of {names}")));
    }
    Ok(found)
}

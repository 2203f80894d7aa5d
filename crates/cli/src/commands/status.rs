//! `comfreyway status`.

use std::time::Duration;

use bpaf::{Parser, construct, long};
use comfreyway_proto::operator::{ClassReport, StatusReport};

use crate::{
    CliError, Exit,
    globals::Globals,
    output::{Table, print_json},
};

use super::config::version_summary;

/// Refresh interval of `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_millis(2_000);

/// Moves the cursor to the top left and clears the terminal.
const CLEAR_SCREEN: &str = "\x1b[H\x1b[2J";

/// Shows the state of a daemon and its view of the other hosts.
#[derive(Clone, Debug)]
pub(crate) struct StatusCommand {
    watch: bool,
}

pub(super) fn command() -> impl Parser<StatusCommand> {
    let watch = long("watch").help("Refresh every two seconds until Ctrl-C").switch();
    construct!(StatusCommand { watch })
        .to_options()
        .descr("Show hosts, versions in force, pools and classes")
        .command("status")
}

impl StatusCommand {
    pub(super) async fn run(self, globals: &Globals) -> Result<Exit, CliError> {
        let client = globals.client()?;
        loop {
            let status = client.status().await?;
            if globals.json {
                print_json(&status);
            } else {
                if self.watch {
                    print!("{CLEAR_SCREEN}");
                }
                print_status(&status);
            }
            if !self.watch {
                return Ok(Exit::Done);
            }
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
    }
}

fn print_status(status: &StatusReport) {
    println!("host {} ({}): {}", status.host, status.phase, version_summary(&status.config));
    println!("{} requests waiting, {} in progress\n", status.waiting, status.in_progress);
    let mut classes = Table::new(&["TIER", "CLASS", "TARGET", "IN TARGET", "NOT RUN", "UNKNOWN"]);
    for class in &status.classes {
        let in_target = format!("{} of {}", class.in_target, class.answered);
        let counts = [in_target, class.not_run.to_string(), class.unknown.to_string()];
        let names = [class.tier.to_string(), class.name.clone(), target(class)];
        classes.push(names.into_iter().chain(counts));
    }
    println!("{classes}");
    let mut pools = Table::new(&["POOL", "OWNER", "EPOCH", "WAITING", "IN PROGRESS"]);
    for pool in &status.pools {
        let counts = [pool.waiting.to_string(), pool.in_progress.to_string()];
        let names = [pool.pool.clone(), pool.owner.clone(), pool.epoch.clone()];
        pools.push(names.into_iter().chain(counts));
    }
    println!("{pools}");
    let mut hosts = Table::new(&["HOST", "VERSION"]);
    for host in &status.config.hosts {
        let version = host.version.map_or_else(|| "not known".to_owned(), |v| v.to_string());
        hosts.push([host.host.clone(), version]);
    }
    print!("{hosts}");
}

fn target(class: &ClassReport) -> String {
    match (class.whole_answer_ms, class.first_token_ms, class.between_tokens_ms) {
        (Some(whole), _, _) => format!("whole answer {whole} ms"),
        (None, Some(first), Some(between)) => format!("first token {first} ms, then {between} ms"),
        _ => String::new(),
    }
}

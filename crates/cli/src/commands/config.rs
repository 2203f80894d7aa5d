//! `comfreyway config`: the configuration as a whole.

use std::path::PathBuf;

use bpaf::{Parser, construct, positional};
use comfreyway_core::config::{Document, Edit, Finding, Severity};
use comfreyway_proto::{
    ini::{read, write},
    operator::{ConfigReport, HistoryReport},
};
use serde::Serialize;

use crate::{
    CliError, Exit,
    globals::Globals,
    output::{Table, print_json},
};

use super::change::{ChangeOptions, change_options};

/// A command on the configuration as a whole.
#[derive(Clone, Debug)]
pub(crate) enum ConfigCommand {
    Apply { options: ChangeOptions, file: PathBuf },
    Check { against_current: bool, file: PathBuf },
    Diff { file: PathBuf },
    Export,
    History,
    Status,
}

pub(super) fn command() -> impl Parser<ConfigCommand> {
    let export = bpaf::pure(ConfigCommand::Export)
        .to_options()
        .descr("Print the configuration in force as INI")
        .command("export");
    let options = change_options();
    let file = file();
    let apply = construct!(ConfigCommand::Apply { options, file })
        .to_options()
        .descr("Replace the configuration by the file; elements not in it are removed")
        .command("apply");
    let file = self::file();
    let diff = construct!(ConfigCommand::Diff { file })
        .to_options()
        .descr("Show what apply would change")
        .command("diff");
    let against_current = bpaf::long("against-current")
        .help("Also show what differs from the configuration in force")
        .switch();
    let file = self::file();
    let check = construct!(ConfigCommand::Check { against_current, file })
        .to_options()
        .descr("Check the file for errors, elements without use and contradictions")
        .command("check");
    let history = bpaf::pure(ConfigCommand::History)
        .to_options()
        .descr("List the recent changes, newest first")
        .command("history");
    let status = bpaf::pure(ConfigCommand::Status)
        .to_options()
        .descr("Show the version in force on each host")
        .command("status");
    construct!([export, apply, check, diff, history, status])
        .to_options()
        .descr("Show and change the whole configuration")
        .command("config")
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("Configuration file (INI)")
}

impl ConfigCommand {
    pub(super) async fn run(self, globals: &Globals) -> Result<Exit, CliError> {
        if let Self::Check { against_current, file } = self {
            return check(globals, against_current, &file).await;
        }
        let client = globals.client()?;
        match self {
            Self::Check { .. } => {}
            Self::Export => {
                let export = client.config().await?;
                if globals.json {
                    print_json(&export);
                } else {
                    print!("{}", write(&export.document));
                }
            }
            Self::Apply { options, file } => {
                let wanted = read_file(&file)?;
                let current = client.config().await?.document;
                return options.submit(globals, &client, &current, &wanted).await;
            }
            Self::Diff { file } => {
                let wanted = read_file(&file)?;
                print_diff(globals, &client.config().await?.document.diff(&wanted));
            }
            Self::History => print_history(globals, &client.history().await?),
            Self::Status => print_config_status(globals, &client.config_status().await?),
        }
        Ok(Exit::Done)
    }
}

/// Checks a file without sending it; only the comparison needs a daemon.
async fn check(globals: &Globals, against_current: bool, file: &PathBuf) -> Result<Exit, CliError> {
    let document = read_file(file)?;
    let findings = [document.validate(), document.validate_reach()].concat();
    let edits = match against_current {
        true => Some(globals.client()?.config().await?.document.diff(&document)),
        false => None,
    };
    if globals.json {
        print_json(&CheckReport { findings: &findings, edits: edits.as_deref() });
    } else {
        for finding in &findings {
            let severity = match finding.severity {
                Severity::Error => "error",
                Severity::Warning => "warning",
            };
            println!("{severity}: {}: {finding}", file.display());
        }
        println!("{} findings", findings.len());
        if let Some(edits) = &edits {
            print_diff(globals, edits);
        }
    }
    let has_errors = findings.iter().any(|finding| finding.severity == Severity::Error);
    Ok(if has_errors { Exit::Refused } else { Exit::Done })
}

/// Result of a check, as JSON.
#[derive(Serialize)]
struct CheckReport<'a> {
    findings: &'a [Finding],
    /// What differs from the configuration in force, if that was asked.
    edits: Option<&'a [Edit]>,
}

fn read_file(file: &PathBuf) -> Result<Document, CliError> {
    let name = file.display().to_string();
    let text =
        std::fs::read_to_string(file).map_err(|e| CliError::File(name.clone(), e.to_string()))?;
    read(&text).map_err(|e| CliError::Argument(format!("{name}: {e}")))
}

fn print_diff(globals: &Globals, edits: &[Edit]) {
    if globals.json {
        print_json(&edits);
        return;
    }
    for edit in edits {
        let sign = if edit.value().is_some() { "set   " } else { "remove" };
        println!("{sign} {}", edit.key());
    }
    println!("{} elements differ", edits.len());
}

fn print_history(globals: &Globals, history: &HistoryReport) {
    if globals.json {
        print_json(history);
        return;
    }
    let mut table = Table::new(&["VERSION", "AUTHOR", "CHANGE", "ELEMENTS"]);
    for change in &history.changes {
        let elements = match &change.edits {
            Some(edits) => edits.iter().map(|e| e.key().to_string()).collect::<Vec<_>>().join(", "),
            None => "many".to_owned(),
        };
        let (version, author) = (change.version.to_string(), change.author.to_string());
        table.push([version, author, change.id.to_string(), elements]);
    }
    print!("{table}");
}

/// Prints the version in force on each host.
pub(super) fn print_config_status(globals: &Globals, report: &ConfigReport) {
    if globals.json {
        print_json(report);
        return;
    }
    println!("{}", version_summary(report));
    let mut table = Table::new(&["HOST", "VERSION"]);
    for host in &report.hosts {
        let version = host.version.map_or_else(|| "not known".to_owned(), |v| v.to_string());
        table.push([host.host.clone(), version]);
    }
    print!("{table}");
}

/// Returns a line on the version in force.
pub(super) fn version_summary(report: &ConfigReport) -> String {
    let current = report.hosts.iter().filter(|h| h.version >= Some(report.version)).count();
    let store = if report.store_reachable { "" } else { "; key-value service is unreachable" };
    format!("version {}, in force on {current} of {}{store}", report.version, report.hosts.len())
}

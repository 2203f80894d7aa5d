//! `comfreyway explain`.

use std::{
    fs,
    io::{self, Read},
    path::{Path, PathBuf},
};

use bpaf::{Parser, construct, long, positional};

use crate::{
    CliError, Exit,
    explain::{LogLine, RequestTimeline},
    globals::Globals,
    output::print_json,
};

/// File name that means standard input.
const STANDARD_INPUT: &str = "-";

/// Explains what happened to a request.
#[derive(Clone, Debug)]
pub(crate) struct ExplainCommand {
    log: Vec<PathBuf>,
    id: String,
}

pub(super) fn command() -> impl Parser<ExplainCommand> {
    let log = long("log")
        .help(
            "Log of a host, - for standard input; repeat for each host. Without it, a daemon \
               is queried",
        )
        .argument::<PathBuf>("FILE")
        .many();
    let id = positional::<String>("ID").help("The request's identity");
    construct!(ExplainCommand { log, id })
        .to_options()
        .descr("Explain why a request waited, where it was sent, or why it was not run")
        .command("explain")
}

impl ExplainCommand {
    pub(super) async fn run(self, globals: &Globals) -> Result<Exit, CliError> {
        if self.log.is_empty() {
            return self.query_daemon(globals).await;
        }
        let logs = self.log.iter().map(|file| Ok((host_name(file), read(file)?)));
        let logs = logs.collect::<Result<Vec<_>, CliError>>()?;
        let lines = logs
            .iter()
            .flat_map(|(name, text)| text.lines().filter_map(|line| LogLine::parse(name, line)));
        let Some(timeline) = RequestTimeline::new(&self.id, lines.collect()) else {
            return Err(CliError::NotLogged(self.id));
        };
        println!("{timeline}");
        Ok(Exit::Done)
    }

    /// Queries a daemon, which keeps records of its most recent requests.
    async fn query_daemon(self, globals: &Globals) -> Result<Exit, CliError> {
        let report = globals.client()?.request(&self.id).await?;
        if globals.json {
            print_json(&report);
        } else {
            println!("{}", report.explanation.join("\n"));
        }
        Ok(Exit::Done)
    }
}

/// Returns the host's name: the file name without its extension.
fn host_name(file: &Path) -> String {
    file.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into_owned())
}

fn read(file: &Path) -> Result<String, CliError> {
    let failed = |e: io::Error| CliError::File(file.display().to_string(), e.to_string());
    let mut buf = Vec::new();
    if file == Path::new(STANDARD_INPUT) {
        io::stdin().read_to_end(&mut buf).map_err(failed)?;
    } else {
        buf = fs::read(file).map_err(failed)?;
    }
    // A log cut off by a power loss may end within a character.
    Ok(String::from_utf8_lossy(&buf).into_owned())
}

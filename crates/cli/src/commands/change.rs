//! `comfreyway change show`, and the options of commands that make a change.

use bpaf::{Parser, construct, long, positional};
use comfreyway_core::{
    config::{ChangeId, Document},
    ids::OperatorName,
};
use comfreyway_proto::operator::{ChangeOutcomeName, ChangeReport, ChangeStateName};

use crate::{
    CliError, Exit,
    globals::{Globals, author},
    ops::{ChangeSettings, Client, submit_document},
    output::{print_change_report, print_change_state, print_json},
};

/// Shows the outcome of an earlier change.
#[derive(Clone, Debug)]
pub(crate) struct ChangeCommand {
    id: ChangeId,
}

pub(super) fn command() -> impl Parser<ChangeCommand> {
    let id = positional::<ChangeId>("ID").help("Identifier that the changing command printed");
    let show = construct!(ChangeCommand { id })
        .to_options()
        .descr("Show the outcome of a change")
        .command("show");
    show.to_options().descr("Inspect single changes").command("change")
}

impl ChangeCommand {
    pub(super) async fn run(self, globals: &Globals) -> Result<Exit, CliError> {
        let state = globals.client()?.change_state(&self.id.to_string()).await?;
        if globals.json {
            print_json(&state);
        } else {
            print_change_state(&state);
        }
        Ok(match state.state {
            ChangeStateName::Accepted => Exit::Done,
            ChangeStateName::Absent | ChangeStateName::Forgotten => Exit::Unknown,
        })
    }
}

/// Options of commands that make a change.
#[derive(Clone, Debug)]
pub(crate) struct ChangeOptions {
    author: Option<OperatorName>,
    change_id: Option<ChangeId>,
    dry_run: bool,
}

pub(super) fn change_options() -> impl Parser<ChangeOptions> {
    let author = long("author")
        .help("Author of the change [default: the shell's user]")
        .argument::<OperatorName>("NAME")
        .optional();
    let change_id = long("change-id")
        .help("Identifier of an earlier attempt of the same change, after an unknown outcome")
        .argument::<ChangeId>("ID")
        .optional();
    let dry_run = long("dry-run").help("Check the change without applying it").switch();
    construct!(ChangeOptions { author, change_id, dry_run })
}

impl ChangeOptions {
    /// Sends the difference between `current` and `wanted` and prints the
    /// outcome.
    pub(super) async fn submit(
        self,
        globals: &Globals,
        client: &Client,
        current: &Document,
        wanted: &Document,
    ) -> Result<Exit, CliError> {
        let settings = ChangeSettings {
            author: author(self.author)?,
            id: self.change_id,
            dry_run: self.dry_run,
        };
        match submit_document(client, &settings, current, wanted).await? {
            Some(report) => Ok(print_report(globals, &report)),
            None => {
                println!("nothing to change; already in force at version {}", current.version);
                Ok(Exit::Done)
            }
        }
    }
}

fn print_report(globals: &Globals, report: &ChangeReport) -> Exit {
    if globals.json {
        print_json(report);
    } else {
        print_change_report(report);
    }
    match report.outcome {
        ChangeOutcomeName::Accepted | ChangeOutcomeName::Checked => Exit::Done,
        ChangeOutcomeName::Refused => Exit::Refused,
        ChangeOutcomeName::Conflict => Exit::Conflict,
        ChangeOutcomeName::Unknown => Exit::Unknown,
    }
}

//! `comfreyway upstream`: list and change upstreams, drain their runners.

use bpaf::{Parser, construct, positional};
use comfreyway_core::{
    config::Document,
    ids::{RunnerName, UpstreamName},
};

use crate::{CliError, Exit, globals::Globals};

use super::{
    change::{ChangeOptions, change_options},
    element::{self, Action, ElementCommand, Kind},
};

/// A command on upstreams.
#[derive(Clone, Debug)]
pub(crate) enum UpstreamCommand {
    /// List, set or remove.
    Element(Action),
    /// Drain runners or return them to service.
    Move {
        leaving: bool,
        options: ChangeOptions,
        upstream: UpstreamName,
        runner: Option<RunnerName>,
    },
}

pub(super) fn command() -> impl Parser<UpstreamCommand> {
    let element = element::action(Kind::Upstream).map(UpstreamCommand::Element);
    let leave = moving(true)
        .to_options()
        .descr("Give no new work to an upstream's runners, or to one of them")
        .command("leave");
    let back = moving(false)
        .to_options()
        .descr("Give work to an upstream's runners again, or to one of them")
        .command("return");
    construct!([element, leave, back])
        .to_options()
        .descr("List and change upstreams; take them out of use")
        .command("upstream")
}

fn moving(leaving: bool) -> impl Parser<UpstreamCommand> {
    let options = change_options();
    let upstream = positional::<UpstreamName>("UPSTREAM").help("Name of the upstream");
    let runner = positional::<RunnerName>("RUNNER").help("One runner only").optional();
    construct!(options, upstream, runner).map(move |(options, upstream, runner)| {
        UpstreamCommand::Move { leaving, options, upstream, runner }
    })
}

impl UpstreamCommand {
    pub(super) async fn run(self, globals: &Globals) -> Result<Exit, CliError> {
        match self {
            Self::Element(action) => {
                ElementCommand { kind: Kind::Upstream, action }.run(globals).await
            }
            Self::Move { leaving, options, upstream, runner } => {
                let client = globals.client()?;
                let current = client.config().await?.document;
                let wanted = with_leaving(&current, &upstream, runner.as_ref(), leaving)?;
                options.submit(globals, &client, &current, &wanted).await
            }
        }
    }
}

fn with_leaving(
    document: &Document,
    name: &UpstreamName,
    only: Option<&RunnerName>,
    leaving: bool,
) -> Result<Document, CliError> {
    let mut wanted = document.clone();
    let unknown = |what: &str| {
        CliError::Argument(format!("{what}: is not configured; see: comfreyway upstream list"))
    };
    let upstream =
        wanted.upstreams.get_mut(name).ok_or_else(|| unknown(&format!("upstream {name}")))?;
    match only {
        Some(runner) => {
            let found = upstream.runners.get_mut(runner);
            found.ok_or_else(|| unknown(&format!("runner {name}/{runner}")))?.leaving = leaving;
        }
        None => upstream.runners.values_mut().for_each(|runner| runner.leaving = leaving),
    }
    Ok(wanted)
}

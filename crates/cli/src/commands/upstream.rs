//! `comfreyway upstream`: list and change upstreams, drain their runners.

use bpaf::{Parser, construct, positional};
use comfreyway_core::{
    config::Document,
    ids::{RunnerName, UpstreamName},
};

use crate::{CliError, Exit, globals::Globals};

use super::{
    change::{ChangeOptions, change_options},
    element::{self, ElementAction, ElementCommand, ElementKind},
};

/// A command on upstreams.
#[derive(Clone, Debug)]
pub(crate) enum UpstreamCommand {
    /// List, set or remove.
    Element(ElementAction),
    /// Drain runners or return them to service.
    SetLeaving {
        leaving: bool,
        options: ChangeOptions,
        upstream: UpstreamName,
        runner: Option<RunnerName>,
    },
}

pub(super) fn command() -> impl Parser<UpstreamCommand> {
    let element = element::action(ElementKind::Upstream).map(UpstreamCommand::Element);
    let leave = set_leaving(true)
        .to_options()
        .descr("Drain an upstream's runners, or one of them")
        .command("leave");
    let return_to_service = set_leaving(false)
        .to_options()
        .descr("Return an upstream's drained runners to service, or one of them")
        .command("return");
    construct!([element, leave, return_to_service])
        .to_options()
        .descr("List, change and drain upstreams")
        .command("upstream")
}

fn set_leaving(leaving: bool) -> impl Parser<UpstreamCommand> {
    let options = change_options();
    let upstream = positional::<UpstreamName>("UPSTREAM").help("Name of the upstream");
    let runner = positional::<RunnerName>("RUNNER").help("One runner only").optional();
    construct!(options, upstream, runner).map(move |(options, upstream, runner)| {
        UpstreamCommand::SetLeaving { leaving, options, upstream, runner }
    })
}

impl UpstreamCommand {
    pub(super) async fn run(self, globals: &Globals) -> Result<Exit, CliError> {
        match self {
            Self::Element(action) => {
                ElementCommand { kind: ElementKind::Upstream, action }.run(globals).await
            }
            Self::SetLeaving { leaving, options, upstream, runner } => {
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
        CliError::Argument(format!("{what} is not configured; see: comfreyway upstream list"))
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

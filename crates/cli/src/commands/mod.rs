//! Command line, with one file for each subcommand.

mod change;
mod config;
mod element;
mod explain;
mod host;
mod request;
mod status;
mod upstream;

use bpaf::{OptionParser, Parser, construct};

use crate::{CliError, Exit, globals::Globals};

pub(crate) use self::element::ElementKind;

/// A subcommand with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Change(change::ChangeCommand),
    Config(config::ConfigCommand),
    Element(element::ElementCommand),
    Explain(explain::ExplainCommand),
    Host(host::HostCommand),
    Request(request::RequestCommand),
    Status(status::StatusCommand),
    Upstream(upstream::UpstreamCommand),
}

/// Returns the parser of the command line.
pub(crate) fn options() -> OptionParser<(Globals, Command)> {
    let globals = crate::globals::globals();
    let command = command();
    construct!(globals, command)
        .to_options()
        .descr("Operates comfreyway daemons over HTTP.")
        .footer(
            "Exit codes: 0 done, 1 failed, 2 usage error, 3 refused, 4 conflict, 5 unknown, \
             6 request not run.",
        )
}

fn command() -> impl Parser<Command> {
    let status = status::command().map(Command::Status);
    let upstream = upstream::command().map(Command::Upstream);
    let config = config::command().map(Command::Config);
    let change = change::command().map(Command::Change);
    let host = host::command().map(Command::Host);
    let request = request::command().map(Command::Request);
    let explain = explain::command().map(Command::Explain);
    let class = element::command(ElementKind::Class).map(Command::Element);
    let workspace = element::command(ElementKind::Workspace).map(Command::Element);
    let model = element::command(ElementKind::Model).map(Command::Element);
    let runner = element::command(ElementKind::Runner).map(Command::Element);
    let route = element::command(ElementKind::Route).map(Command::Element);
    let data_centre = element::command(ElementKind::DataCentre).map(Command::Element);
    construct!([
        status,
        class,
        workspace,
        model,
        upstream,
        runner,
        route,
        data_centre,
        config,
        change,
        host,
        request,
        explain
    ])
}

impl Command {
    /// Runs the command.
    pub(crate) async fn run(self, globals: &Globals) -> Result<Exit, CliError> {
        match self {
            Self::Change(command) => command.run(globals).await,
            Self::Config(command) => command.run(globals).await,
            Self::Element(command) => command.run(globals).await,
            Self::Explain(command) => command.run(globals).await,
            Self::Host(command) => command.run(globals).await,
            Self::Request(command) => command.run(globals).await,
            Self::Status(command) => command.run(globals).await,
            Self::Upstream(command) => command.run(globals).await,
        }
    }
}

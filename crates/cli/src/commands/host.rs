//! `comfreyway host`.

use bpaf::{Parser, construct};

use crate::{CliError, Exit, globals::Globals};

use super::config::print_config_status;

/// A command on hosts.
#[derive(Clone, Debug)]
pub(crate) enum HostCommand {
    List,
    Stop,
}

pub(super) fn command() -> impl Parser<HostCommand> {
    let list = bpaf::pure(HostCommand::List)
        .to_options()
        .descr("List the hosts that the daemon has a session with")
        .command("list");
    let stop = bpaf::pure(HostCommand::Stop)
        .to_options()
        .descr("Start a planned stop of the daemon that --server names")
        .command("stop");
    construct!([list, stop]).to_options().descr("List and stop hosts").command("host")
}

impl HostCommand {
    pub(super) async fn run(self, globals: &Globals) -> Result<Exit, CliError> {
        let client = globals.client()?;
        match self {
            Self::List => print_config_status(globals, &client.config_status().await?),
            Self::Stop => {
                client.stop().await?;
                println!(
                    "{}: planned stop started; requests in progress will finish",
                    globals.server
                );
            }
        }
        Ok(Exit::Done)
    }
}

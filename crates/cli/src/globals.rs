//! Options of all subcommands.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::{Parser, construct, long};
use comfreyway_core::ids::OperatorName;

use crate::{CliError, ops::Client};

/// Operators' port of a daemon with default settings.
const DEFAULT_SERVER: &str = "127.0.0.1:8082";

/// Author of a change if neither `--author` nor `$USER` gives a valid name.
const DEFAULT_AUTHOR: &str = "operator";

/// Options of all subcommands.
#[derive(Clone, Debug)]
pub(crate) struct Globals {
    pub(crate) server: SocketAddr,
    pub(crate) secret_file: Option<PathBuf>,
    pub(crate) json: bool,
}

pub(crate) fn globals() -> impl Parser<Globals> {
    let server = long("server")
        .env("COMFREYWAY_SERVER")
        .help("Operators' port of any daemon, as IP address and port [default: 127.0.0.1:8082]")
        .argument::<SocketAddr>("ADDRESS")
        .fallback_with(|| DEFAULT_SERVER.parse());
    let secret_file = long("secret-file")
        .env("COMFREYWAY_SECRET_FILE")
        .help("File with the secret of the operators' ports")
        .argument::<PathBuf>("FILE")
        .optional();
    let json = long("json").help("Print JSON instead of tables").switch();
    construct!(Globals { server, secret_file, json })
}

impl Globals {
    /// Creates a client of the daemon that the options select.
    pub(crate) fn client(&self) -> Result<Client, CliError> {
        let secret = match &self.secret_file {
            Some(file) => Some(read_secret(file)?),
            None => None,
        };
        Ok(Client::new(self.server, secret))
    }
}

fn read_secret(file: &PathBuf) -> Result<String, CliError> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| CliError::File(file.display().to_string(), e.to_string()))?;
    Ok(text.trim().to_owned())
}

/// Returns the author of a change: as given, else `$USER`, else
/// [`DEFAULT_AUTHOR`].
pub(crate) fn author(given: Option<OperatorName>) -> Result<OperatorName, CliError> {
    let user = || std::env::var("USER").ok().and_then(|user| user.parse().ok());
    match given.or_else(user) {
        Some(author) => Ok(author),
        None => DEFAULT_AUTHOR
            .parse()
            .map_err(|_| CliError::Argument("pass the author with --author".to_owned())),
    }
}

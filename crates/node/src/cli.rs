//! Command line of the daemon.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};

use crate::settings::{Settings, SettingsError, default_file};

/// Exit code of a start that bad settings prevented.
pub const EXIT_BAD_SETTINGS: u8 = 2;

/// What the command line asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonCommand {
    /// Run with the settings of this file.
    Run(PathBuf),
    /// Only check the settings of this file.
    CheckConfig(PathBuf),
    /// Print an annotated file of the default settings.
    PrintDefaultConfig,
}

/// What is left to do after the command line was carried out.
#[derive(Debug)]
pub enum Prepared {
    /// Run with these settings.
    Run(Box<Settings>),
    /// Print this text and end with success.
    Print(String),
}

/// The parser of the daemon's command line.
///
/// # Examples
///
/// ```
/// use comfreyway_node::cli::{DaemonCommand, daemon_command};
///
/// let command = daemon_command().run_inner(&["--config", "a.ini"]).unwrap();
/// assert_eq!(command, DaemonCommand::Run("a.ini".into()));
/// ```
#[must_use]
pub fn daemon_command() -> OptionParser<DaemonCommand> {
    let print = long("print-default-config")
        .help("Print an annotated settings file with every default")
        .req_flag(DaemonCommand::PrintDefaultConfig);
    let check = long("check-config").help("Only check the settings").switch();
    let config = long("config").short('c').help("Settings file (INI)").argument::<PathBuf>("FILE");
    let with_file = construct!(check, config).map(|(check, file)| {
        if check { DaemonCommand::CheckConfig(file) } else { DaemonCommand::Run(file) }
    });
    construct!([print, with_file])
        .to_options()
        .descr("Daemon of the comfreyway request scheduler")
        .version(env!("CARGO_PKG_VERSION"))
}

/// Carries out a command as far as no daemon is needed.
///
/// # Errors
///
/// Fails if the settings can't be used. The caller prints the error as one
/// line and exits with [`EXIT_BAD_SETTINGS`].
pub fn prepare(command: &DaemonCommand) -> Result<Prepared, SettingsError> {
    match command {
        DaemonCommand::Run(file) => Settings::load(file).map(|s| Prepared::Run(Box::new(s))),
        DaemonCommand::CheckConfig(file) => {
            Settings::load(file)?;
            Ok(Prepared::Print(format!("{}: settings are good\n", file.display())))
        }
        DaemonCommand::PrintDefaultConfig => Ok(Prepared::Print(default_file())),
    }
}

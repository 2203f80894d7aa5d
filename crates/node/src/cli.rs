//! Command line of the daemon.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};

use crate::settings::{Settings, SettingsError, default_file};

/// Exit code if the settings are invalid.
pub const EXIT_BAD_SETTINGS: u8 = 2;

/// Action selected on the command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonCommand {
    /// Run with the settings of this file.
    Run(PathBuf),
    /// Validate the settings file and exit.
    CheckConfig(PathBuf),
    /// Print an annotated settings file with all defaults.
    PrintDefaultConfig,
}

/// Result of [`prepare`].
#[derive(Debug)]
pub enum Prepared {
    /// Start the daemon with these settings.
    Run(Box<Settings>),
    /// Print this text and exit successfully.
    Print(String),
}

/// Returns the parser of the daemon's command line.
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
    let check = long("check-config").help("Validate the settings file and exit").switch();
    let config = long("config").short('c').help("Settings file (INI)").argument::<PathBuf>("FILE");
    let with_file = construct!(check, config).map(|(check, file)| {
        if check { DaemonCommand::CheckConfig(file) } else { DaemonCommand::Run(file) }
    });
    construct!([print, with_file])
        .to_options()
        .descr("Daemon of the comfreyway request scheduler")
        .version(env!("CARGO_PKG_VERSION"))
}

/// Loads the settings or produces the text to print, without starting a daemon.
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
            Ok(Prepared::Print(format!("{}: settings are valid\n", file.display())))
        }
        DaemonCommand::PrintDefaultConfig => Ok(Prepared::Print(default_file())),
    }
}

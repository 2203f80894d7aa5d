//! All settings of one process.

use std::{collections::BTreeMap, net::SocketAddr, path::Path};

use comfreyway_core::ids::{DataCentreName, HostName};

use super::{Limits, Platform, Secret, SettingsError, reader};

/// Addresses that the process listens on. Port 0 lets the kernel choose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

/// All settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this host.
    pub name: HostName,
    /// Data centre that this host stands in.
    pub data_centre: DataCentreName,
    /// Number of threads that carry callers' traffic.
    pub workers: usize,
    /// Cores, or part of one, that this host may use.
    pub cores: f64,
    /// Addresses that the process listens on.
    pub listen: ListenAddresses,
    /// Secret of the peers' and operators' ports.
    pub secret: Option<Secret>,
    /// The way to the platform.
    pub platform: Platform,
    /// Peers known from the start, by name.
    pub peers: BTreeMap<HostName, SocketAddr>,
    /// Limits of the process.
    pub limits: Limits,
}

impl Settings {
    /// Reads and checks a settings file and the files that it names.
    ///
    /// # Errors
    ///
    /// Fails with the first fault found.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|e| SettingsError::Unreadable(file.to_owned(), e.to_string()))?;
        Self::parse(&text, file)
    }

    /// Reads and checks the text of a settings file. `file` is for messages.
    ///
    /// # Errors
    ///
    /// Fails with the first fault found.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::path::Path;
    ///
    /// use comfreyway_node::settings::Settings;
    ///
    /// let text = "[host]\nname = a\ndata-centre = almaty\nworkers = none\n";
    /// let error = Settings::parse(text, Path::new("a.ini")).unwrap_err();
    /// assert!(error.to_string().starts_with("a.ini:4: [host] workers: bad value"));
    /// ```
    pub fn parse(text: &str, file: &Path) -> Result<Self, SettingsError> {
        reader::read(text, file)
    }
}

//! Settings of one process.

use std::{collections::BTreeMap, net::SocketAddr, path::Path};

use comfreyway_core::ids::{DataCentreName, HostName};

use super::{Limits, Platform, Secret, SettingsError, reader};

/// Addresses that the process listens on. With port 0 the kernel chooses the
/// port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for requests that other hosts of a fleet send to runners through this one.
    pub forward: Option<SocketAddr>,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this host.
    pub name: HostName,
    /// Data centre of this host.
    pub data_centre: DataCentreName,
    /// Number of threads that handle callers' requests.
    pub workers: usize,
    /// Number of cores that this host may use; may be a fraction.
    pub cores: f64,
    /// Addresses that the process listens on.
    pub listen: ListenAddresses,
    /// Secret of the peers' and operators' ports.
    pub secret: Option<Secret>,
    /// The platform that hosts share.
    pub platform: Platform,
    /// Static list of peers, by host name.
    pub peers: BTreeMap<HostName, SocketAddr>,
    /// Limits of the process.
    pub limits: Limits,
}

impl Settings {
    /// Reads and validates a settings file and the files that it names.
    ///
    /// # Errors
    ///
    /// Fails with the first error found.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|e| SettingsError::Unreadable(file.to_owned(), e.to_string()))?;
        Self::parse(&text, file)
    }

    /// Parses and validates the text of a settings file. `file` is used in
    /// error messages only.
    ///
    /// # Errors
    ///
    /// Fails with the first error found.
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

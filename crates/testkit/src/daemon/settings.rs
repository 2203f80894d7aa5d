//! Settings files of daemons.

use std::{
    fmt::Write as _,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use super::unused_address;

/// Platform of a daemon.
#[derive(Clone, Debug)]
enum PlatformSettings {
    Embedded { initial_configuration: PathBuf },
    ClassStore(SocketAddr),
    FleetStore(SocketAddr),
}

/// Settings of one daemon.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Name of the host.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for requests that other daemons send through this one.
    pub forward: SocketAddr,
    workers: usize,
    platform: PlatformSettings,
    known_peers: Vec<(String, SocketAddr)>,
    limits: Vec<(String, String)>,
    fleet: Vec<(String, String)>,
}

impl DaemonSettings {
    /// A daemon with the platform embedded in its process.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn with_embedded(name: &str, initial_configuration: &Path) -> io::Result<Self> {
        let initial_configuration = initial_configuration.to_owned();
        Self::new(name, PlatformSettings::Embedded { initial_configuration })
    }

    /// A daemon that keeps its configuration of classes and pools in the store at
    /// this address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn with_class_store(name: &str, store: SocketAddr) -> io::Result<Self> {
        Self::new(name, PlatformSettings::ClassStore(store))
    }

    /// A daemon of a fleet, with the platform's store at this address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn with_fleet_store(name: &str, store: SocketAddr) -> io::Result<Self> {
        Self::new(name, PlatformSettings::FleetStore(store))
    }

    /// Sets a key in section `fleet`.
    #[must_use]
    pub fn with_fleet(mut self, key: &str, value: &str) -> Self {
        self.fleet.push((key.to_owned(), value.to_owned()));
        self
    }

    fn new(name: &str, platform: PlatformSettings) -> io::Result<Self> {
        Ok(Self {
            name: name.to_owned(),
            data_centre: "medeu".to_owned(),
            callers: unused_address()?,
            peers: unused_address()?,
            operators: unused_address()?,
            forward: unused_address()?,
            workers: 2,
            platform,
            known_peers: Vec::new(),
            limits: Vec::new(),
            fleet: Vec::new(),
        })
    }

    /// Sets the data centre.
    #[must_use]
    pub fn in_data_centre(mut self, name: &str) -> Self {
        name.clone_into(&mut self.data_centre);
        self
    }

    /// Sets the number of worker threads for callers' traffic.
    #[must_use]
    pub fn with_workers(mut self, workers: usize) -> Self {
        self.workers = workers;
        self
    }

    /// Adds a peer to section `peers`.
    #[must_use]
    pub fn with_peer(mut self, name: &str, address: SocketAddr) -> Self {
        self.known_peers.push((name.to_owned(), address));
        self
    }

    /// Sets a key in section `limits`.
    #[must_use]
    pub fn with_limit(mut self, key: &str, value: &str) -> Self {
        self.limits.push((key.to_owned(), value.to_owned()));
        self
    }

    /// The text of the settings file.
    #[must_use]
    pub fn text(&self) -> String {
        let mut out = String::new();
        // Writing to a string can't fail.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        writeln!(out, "[host]")?;
        writeln!(out, "name = {}", self.name)?;
        writeln!(out, "data-centre = {}", self.data_centre)?;
        writeln!(out, "workers = {}", self.workers)?;
        writeln!(out, "[listen]")?;
        writeln!(out, "callers = {}", self.callers)?;
        writeln!(out, "peers = {}", self.peers)?;
        writeln!(out, "operators = {}", self.operators)?;
        writeln!(out, "forward = {}", self.forward)?;
        writeln!(out, "[platform]")?;
        self.write_platform(out)?;
        writeln!(out, "[limits]")?;
        for (key, value) in &self.limits {
            writeln!(out, "{key} = {value}")?;
        }
        writeln!(out, "[fleet]")?;
        for (key, value) in &self.fleet {
            writeln!(out, "{key} = {value}")?;
        }
        writeln!(out, "[peers]")?;
        for (name, address) in &self.known_peers {
            writeln!(out, "{name} = {address}")?;
        }
        Ok(())
    }

    fn write_platform(&self, out: &mut String) -> std::fmt::Result {
        match &self.platform {
            PlatformSettings::Embedded { initial_configuration } => {
                writeln!(out, "kind = embedded")?;
                writeln!(out, "initial-configuration = {}", initial_configuration.display())
            }
            PlatformSettings::FleetStore(address) => {
                writeln!(out, "kind = store")?;
                writeln!(out, "store = {address}")
            }
            PlatformSettings::ClassStore(address) => {
                writeln!(out, "kind = store")?;
                writeln!(out, "configuration = own")?;
                writeln!(out, "store = {address}")
            }
        }
    }
}

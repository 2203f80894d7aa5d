//! The way to the platform.

use std::{net::SocketAddr, path::PathBuf};

/// The way to the platform's key-value service and host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Platform {
    /// Both are kept in this process, for a first trial.
    Embedded {
        /// File with the configuration to start with.
        initial_configuration: Option<PathBuf>,
    },
    /// An etcd v3 JSON gateway, and a host list if there is one.
    Etcd {
        /// Addresses of the gateway, at least one.
        endpoints: Vec<SocketAddr>,
        /// Address of the host list.
        host_list: Option<SocketAddr>,
    },
}

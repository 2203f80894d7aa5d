//! The platform's list of live and leaving hosts, which may be out of date.

use std::net::SocketAddr;

use comfreyway_core::ids::{DataCentreName, HostName};
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// State of a listed host or runner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// In service.
    Live,
    /// Draining; gets no new work.
    Leaving,
}

/// An entry of the host list: a scheduler host or a runner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// Name of the host or runner.
    pub name: HostName,
    /// Address of the runner, or of the scheduler host's peers' port.
    pub address: SocketAddr,
    /// Data centre of the host or runner.
    pub data_centre: DataCentreName,
    /// State of the host or runner.
    pub state: HostState,
}

/// A list of hosts and runners.
pub trait HostList {
    /// Reads the whole list.
    fn hosts(&self) -> LocalBoxFuture<'_, Result<Vec<ListedHost>, PlatformError>>;
}

//! The platform's lagging list of live and leaving hosts.

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
    /// Told to leave; gets no new work.
    Leaving,
}

/// One entry of the list. Scheduler hosts and runners are both listed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// Name of the host or runner.
    pub name: HostName,
    /// Its address: the peers' port of a scheduler host, the port of a runner.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: DataCentreName,
    /// Its state.
    pub state: HostState,
}

/// The host list.
pub trait HostList {
    /// Reads the whole list.
    fn hosts(&self) -> LocalBoxFuture<'_, Result<Vec<ListedHost>, PlatformError>>;
}

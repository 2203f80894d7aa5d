//! A host list in memory.

use std::sync::{Arc, Mutex, PoisonError};

use futures_util::future::{FutureExt, LocalBoxFuture, ready};

use crate::{HostList, ListedHost, PlatformError};

/// A host list in memory. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct EmbeddedHostList {
    hosts: Arc<Mutex<Vec<ListedHost>>>,
}

impl EmbeddedHostList {
    /// A list that names these hosts.
    #[must_use]
    pub fn new(hosts: Vec<ListedHost>) -> Self {
        Self { hosts: Arc::new(Mutex::new(hosts)) }
    }

    /// Replaces the list.
    pub fn set(&self, hosts: Vec<ListedHost>) {
        *self.hosts.lock().unwrap_or_else(PoisonError::into_inner) = hosts;
    }
}

impl HostList for EmbeddedHostList {
    fn hosts(&self) -> LocalBoxFuture<'_, Result<Vec<ListedHost>, PlatformError>> {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner).clone();
        ready(Ok(hosts)).boxed_local()
    }
}

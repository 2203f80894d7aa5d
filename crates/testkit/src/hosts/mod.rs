//! Stand-in of the host list: `GET /v1/hosts` with a lag.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use actix_web::{
    HttpResponse,
    web::{Data, ServiceConfig, get},
};
use comfreyway_platform::{HostState, HostsDocument, ListedHost};

use crate::server::{ANY_PORT, LocalServer};

#[derive(Debug, Default)]
struct Lists {
    shown: Vec<ListedHost>,
    latest: Vec<ListedHost>,
    pending: VecDeque<(Instant, Vec<ListedHost>)>,
    lag: Duration,
}

#[derive(Debug, Default)]
struct Shared {
    lists: Mutex<Lists>,
    calls: AtomicU64,
}

/// A running host list.
pub struct HostListStandIn {
    server: LocalServer,
    shared: Arc<Shared>,
}

impl HostListStandIn {
    /// Starts a list that shows these hosts at once, and changes after `lag`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start(hosts: Vec<ListedHost>, lag: Duration) -> io::Result<Self> {
        let lists = Lists { shown: hosts.clone(), latest: hosts, pending: VecDeque::new(), lag };
        let shared = Arc::new(Shared { lists: Mutex::new(lists), calls: AtomicU64::new(0) });
        let data = Data::from(shared.clone());
        let server = LocalServer::start(ANY_PORT, move |cfg: &mut ServiceConfig| {
            cfg.app_data(data.clone()).route("/v1/hosts", get().to(hosts_call));
        })?;
        Ok(Self { server, shared })
    }

    /// The address of the list.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the list. The change shows after the lag.
    pub fn set(&self, hosts: Vec<ListedHost>) {
        let mut lists = self.shared.lock();
        lists.latest.clone_from(&hosts);
        let shows_at = Instant::now() + lists.lag;
        lists.pending.push_back((shows_at, hosts));
    }

    /// Changes the state of one host or runner. The change shows after the lag.
    pub fn set_state(&self, name: &str, state: HostState) {
        let mut hosts = self.shared.lock().latest.clone();
        for host in hosts.iter_mut().filter(|host| host.name.as_str() == name) {
            host.state = state;
        }
        self.set(hosts);
    }

    /// Number of calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Lists> {
        self.lists.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lists {
    fn shown(&mut self) -> Vec<ListedHost> {
        let now = Instant::now();
        while self.pending.front().is_some_and(|(shows_at, _)| *shows_at <= now) {
            if let Some((_, hosts)) = self.pending.pop_front() {
                self.shown = hosts;
            }
        }
        self.shown.clone()
    }
}

async fn hosts_call(shared: Data<Shared>) -> HttpResponse {
    shared.calls.fetch_add(1, Ordering::Relaxed);
    let hosts = shared.lock().shown();
    HttpResponse::Ok().json(HostsDocument { hosts })
}

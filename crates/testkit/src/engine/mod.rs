//! Stand-in of a model engine.
//!
//! It serves what `docs/design/upstream-protocol.md` describes: chat
//! completions, streamed or not, with continuous batching in order of arrival,
//! a prefix cache, resume and cancel by the request's identity, a lagging load
//! report, and late cache events with gaps. An answer follows from its prompt
//! alone, so a test can compare it byte for byte with a direct one.

mod batch;
mod cache;
mod chat;
mod fencing;
mod handlers;
mod job;
mod load;
mod render;
mod settings;
mod shared;
mod stream;

use std::{io, net::SocketAddr, sync::Arc};

use actix_web::web::{Data, ServiceConfig};

use crate::{
    Gate, RunLog,
    leaving::Leaving,
    server::{ANY_PORT, LocalServer},
};

pub(crate) use self::shared::Shared;
pub use self::{
    cache::{CacheEvent, CacheEventKind, CacheEvents},
    load::LoadReport,
    settings::EngineSettings,
};

/// A running engine.
pub struct EngineStandIn {
    server: LocalServer,
    shared: Arc<Shared>,
}

impl EngineStandIn {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_testkit::engine::{EngineSettings, EngineStandIn};
    ///
    /// let engine = EngineStandIn::start(EngineSettings::new()).unwrap();
    /// assert!(engine.address().ip().is_loopback());
    /// assert_eq!(engine.log().count(), 0);
    /// ```
    pub fn start(settings: EngineSettings) -> io::Result<Self> {
        Self::start_at(ANY_PORT, settings)
    }

    /// Starts an engine at this address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn start_at(address: SocketAddr, settings: EngineSettings) -> io::Result<Self> {
        Self::start_all(&[address], settings)
    }

    /// Starts one engine that stands for many: it listens at all of these
    /// addresses, and its batch is shared.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub fn start_all(addresses: &[SocketAddr], settings: EngineSettings) -> io::Result<Self> {
        let shared = Shared::new(settings);
        let data = Data::from(shared.clone());
        let server = LocalServer::start_all(addresses, move |cfg: &mut ServiceConfig| {
            cfg.app_data(data.clone()).configure(handlers::configure);
        })?;
        Ok(Self { server, shared })
    }

    /// The address of the engine.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// All addresses of the engine.
    #[must_use]
    pub fn addresses(&self) -> &[SocketAddr] {
        self.server.addresses()
    }

    /// The requests that it ran. A resumed stream is not a run.
    #[must_use]
    pub fn log(&self) -> &RunLog {
        &self.shared.log
    }

    /// The orders that it took.
    #[must_use]
    pub fn orders(&self) -> &RunLog {
        &self.shared.orders
    }

    /// Holds all prefill and decode while closed.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.shared.gate
    }

    /// Calls to resume a stream, whether or not they succeeded.
    #[must_use]
    pub fn resumes(&self) -> u64 {
        self.shared.resumes()
    }

    /// Calls to cancel a request, whether or not they succeeded.
    #[must_use]
    pub fn cancels(&self) -> u64 {
        self.shared.cancels()
    }

    /// Changes the speed; see [`EngineSettings::with_rates`].
    pub fn set_rates(&self, prefill: f64, decode: f64) {
        self.shared.batch().rates = settings::Rates { prefill, decode };
    }

    /// Sets how the engine says that it is leaving.
    pub fn set_leaving(&self, leaving: Leaving) {
        self.shared.set_leaving(leaving);
    }

    /// Breaks the connection of the next streamed answer after this many
    /// events. Generation goes on if the engine can resume.
    pub fn cut_next_stream(&self, after_events: u32) {
        self.shared.set_cut(after_events);
    }
}

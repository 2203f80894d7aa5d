//! Stand-in of a model engine.
//!
//! It implements `docs/design/upstream-protocol.md`: chat completions, streamed
//! or not, with continuous batching in order of arrival, a prefix cache, resume
//! and cancel by request ID, delayed load reports, and delayed cache events with
//! gaps. The generated text depends on the prompt alone, so a test can compare a
//! response byte for byte with one that it got from an engine directly.

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

    /// Starts an engine on this address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn start_at(address: SocketAddr, settings: EngineSettings) -> io::Result<Self> {
        Self::start_all(&[address], settings)
    }

    /// Starts one engine that stands for several runners: it listens on all of
    /// these addresses with one batch and one cache.
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

    /// The requests that the engine ran. A resumed stream is not a run.
    #[must_use]
    pub fn log(&self) -> &RunLog {
        &self.shared.log
    }

    /// The orders that the engine accepted.
    #[must_use]
    pub fn orders(&self) -> &RunLog {
        &self.shared.orders
    }

    /// Pauses prefill and decode while closed.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.shared.gate
    }

    /// Number of calls to resume a stream, successful or not.
    #[must_use]
    pub fn resumes(&self) -> u64 {
        self.shared.resumes()
    }

    /// Number of calls to cancel a request, successful or not.
    #[must_use]
    pub fn cancels(&self) -> u64 {
        self.shared.cancels()
    }

    /// Sets the speed; see [`EngineSettings::with_rates`].
    pub fn set_rates(&self, prefill: f64, decode: f64) {
        self.shared.batch().rates = settings::Rates { prefill, decode };
    }

    /// Sets how the engine announces that it is leaving.
    pub fn set_leaving(&self, leaving: Leaving) {
        self.shared.set_leaving(leaving);
    }

    /// Closes the connection of the next streamed response after this many
    /// events. Generation continues if the engine supports resume.
    pub fn cut_next_stream(&self, after_events: u32) {
        self.shared.set_cut(after_events);
    }
}

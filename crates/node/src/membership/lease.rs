//! The lease by which a host shows that it is alive while it owns a pool.

use std::time::Duration;

use comfreyway_core::{ids::HostId, time::MonoTime};
use comfreyway_platform::{LeaseId, PlatformError};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

use crate::control::Clock;

use super::OwnershipStore;

/// Time after its last renewal at which a lease lapses.
pub const LEASE_TTL: Duration = Duration::from_millis(2_000);

/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(700);

/// Wait after a call that failed.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// Time by which this host takes its lease to end earlier than the service does.
const MARGIN: Duration = Duration::from_millis(200);

/// Holds the lease of this host while it is wanted.
pub struct HostLease {
    host: HostId,
    store: OwnershipStore,
    clock: Clock,
    wanted: watch::Receiver<bool>,
    held_until: mpsc::UnboundedSender<MonoTime>,
}

impl HostLease {
    /// Prepares the lease. Ends of its validity arrive at `held_until`.
    #[must_use]
    pub fn new(
        host: HostId,
        store: OwnershipStore,
        clock: Clock,
        wanted: watch::Receiver<bool>,
        held_until: mpsc::UnboundedSender<MonoTime>,
    ) -> Self {
        Self { host, store, clock, wanted, held_until }
    }

    /// Holds the lease whenever it is wanted, until the wish's sender is gone.
    pub async fn run(mut self) {
        while self.wanted.wait_for(|wanted| *wanted).await.is_ok() {
            match self.obtain().await {
                Ok(lease) => self.keep(lease).await,
                Err(_) => sleep(RETRY_WAIT).await,
            }
        }
    }

    async fn obtain(&self) -> Result<LeaseId, PlatformError> {
        let sent = self.clock.now();
        let lease = self.store.kv().grant_lease(LEASE_TTL).await?;
        self.store.show(&self.host, lease).await?;
        self.report(sent, LEASE_TTL);
        Ok(lease)
    }

    /// Renews the lease until it has lapsed or is no longer wanted.
    async fn keep(&mut self, lease: LeaseId) {
        loop {
            let interval = sleep(RENEW_INTERVAL);
            tokio::select! {
                () = interval => {}
                changed = self.wanted.wait_for(|wanted| !*wanted) => {
                    drop(changed);
                    // A lease that can't be revoked lapses by itself.
                    let _ = self.store.kv().revoke_lease(lease).await;
                    return;
                }
            }
            let sent = self.clock.now();
            match self.store.kv().renew_lease(lease).await {
                Ok(left) => self.report(sent, left),
                Err(PlatformError::LeaseExpired) => return,
                Err(_) => sleep(RETRY_WAIT).await,
            }
        }
    }

    /// Counts the lease's time from before the call was sent.
    fn report(&self, sent: MonoTime, left: Duration) {
        // A closed channel means that the process ends.
        let _ = self.held_until.send(sent + left.min(LEASE_TTL).saturating_sub(MARGIN));
    }
}

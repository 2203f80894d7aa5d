//! The lease that a host holds while it owns a pool.

use std::time::Duration;

use comfreyway_core::{ids::HostId, time::MonoTime};
use comfreyway_platform::{LeaseId, PlatformError};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

use crate::control::Clock;

use super::OwnershipStore;

/// Time after its last renewal at which a lease expires.
pub const LEASE_TTL: Duration = Duration::from_millis(2_000);

/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(700);

/// Wait after a failed call.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// This host counts its lease as expired this long before the service does.
const EXPIRY_MARGIN: Duration = Duration::from_millis(200);

/// Holds the lease of this host while it is wanted.
pub struct HostLease {
    host: HostId,
    store: OwnershipStore,
    clock: Clock,
    wanted: watch::Receiver<bool>,
    held_until: mpsc::UnboundedSender<MonoTime>,
}

impl HostLease {
    /// Creates the lease's task. After each renewal, the time until which the lease
    /// holds is sent to `held_until`.
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

    /// Holds the lease while it is wanted. Returns when the sender of `wanted` is
    /// dropped.
    pub async fn run(mut self) {
        while self.wanted.wait_for(|wanted| *wanted).await.is_ok() {
            match self.acquire().await {
                Ok(lease) => self.renew_while_wanted(lease).await,
                Err(_) => sleep(RETRY_WAIT).await,
            }
        }
    }

    async fn acquire(&self) -> Result<LeaseId, PlatformError> {
        let sent_at = self.clock.now();
        let lease = self.store.kv().grant_lease(LEASE_TTL).await?;
        self.store.write_presence(&self.host, lease).await?;
        self.report_held_until(sent_at, LEASE_TTL);
        Ok(lease)
    }

    /// Renews the lease until it has expired or is no longer wanted.
    async fn renew_while_wanted(&mut self, lease: LeaseId) {
        loop {
            let interval = sleep(RENEW_INTERVAL);
            tokio::select! {
                () = interval => {}
                changed = self.wanted.wait_for(|wanted| !*wanted) => {
                    drop(changed);
                    // A lease that can't be revoked expires after its TTL.
                    let _ = self.store.kv().revoke_lease(lease).await;
                    return;
                }
            }
            let sent_at = self.clock.now();
            match self.store.kv().renew_lease(lease).await {
                Ok(left) => self.report_held_until(sent_at, left),
                Err(PlatformError::LeaseExpired) => return,
                Err(_) => sleep(RETRY_WAIT).await,
            }
        }
    }

    /// Reports until when the lease holds, counted from before the call was sent.
    fn report_held_until(&self, sent_at: MonoTime, left: Duration) {
        // The channel is closed when the process ends.
        let _ = self.held_until.send(sent_at + left.min(LEASE_TTL).saturating_sub(EXPIRY_MARGIN));
    }
}

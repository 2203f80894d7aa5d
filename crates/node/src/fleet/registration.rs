//! Maintains this host's entry in the store.

use std::{rc::Rc, time::Duration};

use comfreyway_core::fleet::Member;
use comfreyway_platform::{LeaseId, Store, StoreError};
use tokio::{sync::watch, time::sleep};

use crate::events::{Event, log_event};

/// Time after its last renewal at which the entry of a failed host expires.
const LEASE_TTL: Duration = Duration::from_millis(4_000);

/// Interval of lease renewals; one may fail without expiry.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_300);

/// Wait after a failed call.
const RETRY_WAIT: Duration = Duration::from_millis(400);

/// Keeps a host registered under `key` until `stop` turns true.
pub(super) async fn keep_registered(
    store: Rc<dyn Store>,
    key: String,
    member: Member,
    mut stop: watch::Receiver<bool>,
) {
    let mut lease = None;
    loop {
        let step = async {
            let wait = match renew(&*store, &key, &member, &mut lease).await {
                Ok(()) => RENEW_INTERVAL,
                Err(e) => {
                    log_event!(Event::RegistrationFailed, cause:% = e);
                    RETRY_WAIT
                }
            };
            sleep(wait).await;
        };
        tokio::select! {
            () = step => {}
            _ = stop.wait_for(|stop| *stop) => break,
        }
    }
    if let Some(lease) = lease
        && let Err(e) = store.revoke_lease(lease).await
    {
        log_event!(Event::RegistrationFailed, cause:% = e);
    }
}

async fn renew(
    store: &dyn Store,
    key: &str,
    member: &Member,
    lease: &mut Option<LeaseId>,
) -> Result<(), StoreError> {
    if let Some(id) = *lease {
        return match store.renew_lease(id).await {
            Err(StoreError::LeaseExpired) => {
                *lease = None;
                register(store, key, member, lease).await
            }
            result => result,
        };
    }
    register(store, key, member, lease).await
}

async fn register(
    store: &dyn Store,
    key: &str,
    member: &Member,
    lease: &mut Option<LeaseId>,
) -> Result<(), StoreError> {
    let granted = store.grant_lease(LEASE_TTL).await?;
    let value = serde_json::to_vec(member).map_err(|e| StoreError::NotDone(e.to_string()))?;
    // If the reply is lost, the next attempt writes the entry under a new
    // lease.
    store.put(key, value, Some(granted)).await?;
    *lease = Some(granted);
    Ok(())
}

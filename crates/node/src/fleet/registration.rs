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

/// The lease on a host's entry.
#[derive(Clone, Copy, Debug)]
struct Registration {
    lease: LeaseId,
    /// Era of the store in which it was granted. In a later one the same id may be
    /// another host's lease.
    era: u64,
}

/// Keeps a host registered under `key` until `stop` turns true.
pub(super) async fn keep_registered(
    store: Rc<dyn Store>,
    key: String,
    member: Member,
    mut stop: watch::Receiver<bool>,
) {
    let mut registration = None;
    loop {
        let step = async {
            let wait = match renew(&*store, &key, &member, &mut registration).await {
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
    if let Some(Registration { lease, era }) = registration
        && era == store.era()
        && let Err(e) = store.revoke_lease(lease).await
    {
        log_event!(Event::RegistrationFailed, cause:% = e);
    }
}

async fn renew(
    store: &dyn Store,
    key: &str,
    member: &Member,
    registration: &mut Option<Registration>,
) -> Result<(), StoreError> {
    if let Some(Registration { lease, era }) = *registration
        && era == store.era()
    {
        match store.renew_lease(lease).await {
            Ok(()) if era == store.era() => return Ok(()),
            Ok(()) | Err(StoreError::LeaseExpired) => {}
            Err(e) => return Err(e),
        }
    }
    *registration = None;
    *registration = Some(register(store, key, member).await?);
    Ok(())
}

async fn register(
    store: &dyn Store,
    key: &str,
    member: &Member,
) -> Result<Registration, StoreError> {
    let lease = store.grant_lease(LEASE_TTL).await?;
    let era = store.era();
    let value = serde_json::to_vec(member).map_err(|e| StoreError::NotDone(e.to_string()))?;
    // If the reply is lost, the next attempt writes the entry under a new
    // lease.
    store.put(key, value, Some(lease)).await?;
    match store.era() == era {
        true => Ok(Registration { lease, era }),
        false => Err(StoreError::NotDone("the store came back from an older copy".to_owned())),
    }
}

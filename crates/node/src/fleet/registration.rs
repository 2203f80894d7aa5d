//! Maintains this host's entry in the store.

use std::{rc::Rc, time::Duration};

use comfreyway_core::fleet::Member;
use comfreyway_platform::{LeaseId, Store, StoreError};
use tokio::{sync::watch, time::sleep};

use crate::events::{Event, log_event};

/// Maximum interval of lease renewals, as a fraction of the time to live: one
/// renewal may fail without expiry.
const RENEW_FRACTION: f64 = 0.325;

/// Wait after the first failed call; doubles with each further failure.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(400);

/// Maximum wait after a failed call. An entry that is missing meanwhile only keeps
/// this host from being elected.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(3_200);

/// Random part of each wait, so that the hosts of a fleet do not call all at once.
const JITTER: std::ops::Range<f64> = 0.8..1.0;

/// The lease on a host's entry.
#[derive(Clone, Copy, Debug)]
struct Registration {
    lease: LeaseId,
    /// Era of the store in which it was granted. In a later one the same id may be
    /// another host's lease.
    era: u64,
}

/// Keeps a host registered under `key`, with a lease of this time to live, until
/// `stop` turns true.
pub(super) async fn keep_registered(
    store: Rc<dyn Store>,
    key: String,
    member: Member,
    ttl: Duration,
    mut stop: watch::Receiver<bool>,
) {
    let mut registration = None;
    let mut failures = 0;
    loop {
        let step = async {
            let wait = match renew(&*store, &key, &member, ttl, &mut registration).await {
                Ok(()) => {
                    failures = 0;
                    ttl.mul_f64(RENEW_FRACTION)
                }
                Err(e) => {
                    log_event!(Event::RegistrationFailed, cause:% = e);
                    failures += 1;
                    retry_wait(failures)
                }
            };
            sleep(wait.mul_f64(rand::random_range(JITTER))).await;
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

fn retry_wait(failures: u32) -> Duration {
    let doublings = failures.clamp(1, 8) - 1;
    (MIN_RETRY_WAIT * 2_u32.pow(doublings)).min(MAX_RETRY_WAIT)
}

async fn renew(
    store: &dyn Store,
    key: &str,
    member: &Member,
    ttl: Duration,
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
    *registration = Some(register(store, key, member, ttl).await?);
    Ok(())
}

async fn register(
    store: &dyn Store,
    key: &str,
    member: &Member,
    ttl: Duration,
) -> Result<Registration, StoreError> {
    let lease = store.grant_lease(ttl).await?;
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

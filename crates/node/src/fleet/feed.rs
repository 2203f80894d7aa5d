//! Watches the store.
//!
//! One watch covers all keys of the fleet, so each response verifies that
//! everything known is current, whatever it is about.

use std::{rc::Rc, time::Duration};

use comfreyway_core::time::MonoTime;
use comfreyway_platform::{Changes, KvEvent, Page, Revision, Store, StoreError, Versioned};
use tokio::{sync::mpsc::UnboundedSender, time::sleep};

use crate::control::Clock;

/// Prefix of all keys.
const ALL_KEYS: &str = "";

/// Maximum wait of one watch. Each response verifies what is known, so this
/// bounds its staleness.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// Maximum wait of the first watch from a known revision. A host that takes over
/// from a coordinator has to verify its view before that of the others is stale.
const FIRST_WATCH_WAIT: Duration = Duration::from_millis(20);

/// Minimum time between two watches. While hundreds of hosts start, each
/// registration is a change; one call for each change from each host would
/// exceed the store's rate limit. Far below the two seconds within which a
/// configuration must be in force (`MAX_ACTIVATION_TIME`).
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time after a listing in which the receiver may end the feed, before a first watch
/// is called: enough to connect to a coordinator that is up.
const LISTING_PAUSE: Duration = Duration::from_millis(40);

/// Wait after the first failed call; doubles with each further failure.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(40);

/// Maximum wait after a failed call; a host must receive changes well within
/// two seconds of the store's return.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(600);

/// Retries of one page before the listing starts again: about two seconds.
const MAX_PAGE_RETRIES: u32 = 6;

/// An update from the store.
#[derive(Debug)]
pub(super) enum FeedUpdate {
    /// The first page of a listing, and the time at which it was requested.
    FirstPage(Vec<Versioned>, MonoTime),
    /// All entries, as of a revision.
    Listing(Vec<Versioned>, Revision),
    /// Changes up to a revision.
    Changes(Vec<KvEvent>, Revision),
    /// Everything sent so far was current at this time.
    Verified(MonoTime),
    /// A call to the store failed.
    CallFailed(StoreError),
    /// The store responds again.
    Recovered,
}

/// Watches the store after a revision, or lists it first if none is given,
/// until the receiver is dropped.
pub(super) async fn follow(
    store: Rc<dyn Store>,
    clock: Clock,
    after: Option<Revision>,
    tx: UnboundedSender<FeedUpdate>,
) {
    let mut feed = Feed { store, clock, tx, verified: false, unreachable: false, failures: 0 };
    let mut after = after;
    while let Some(next) = feed.step(after).await {
        after = next;
    }
}

struct Feed {
    store: Rc<dyn Store>,
    clock: Clock,
    tx: UnboundedSender<FeedUpdate>,
    /// True once a reply has verified the receiver's view.
    verified: bool,
    unreachable: bool,
    failures: u32,
}

impl Feed {
    /// Makes one call. Returns where to continue, or `None` if the receiver was
    /// dropped.
    async fn step(&mut self, after: Option<Revision>) -> Option<Option<Revision>> {
        let result = match after {
            None => self.list().await,
            Some(after) => self.watch(after).await,
        };
        match result {
            Ok(revision) => revision.map(Some),
            Err(StoreError::HistoryCompacted) => Some(None),
            Err(e) => {
                self.record_failure(e).await?;
                Some(after)
            }
        }
    }

    /// Lists all keys. The first page is sent at once: it holds the hosts and
    /// the configuration, and listing thousands of runners takes the store
    /// seconds while all hosts start.
    async fn list(&mut self) -> Result<Option<Revision>, StoreError> {
        let requested_at = self.clock.now();
        let Page { mut items, revision, mut more } = self.store.page(ALL_KEYS, None).await?;
        let mut sent = self.record_success();
        if more {
            sent =
                sent.and_then(|()| self.send(FeedUpdate::FirstPage(items.clone(), requested_at)));
        }
        while more && sent.is_some() {
            let last = items.last().map(|item| item.key.clone());
            let page = self.next_page(last.as_deref()).await?;
            if page.revision.era() != revision.era() {
                return Err(StoreError::HistoryCompacted);
            }
            more = page.more;
            items.extend(page.items);
        }
        let sent = sent.and_then(|()| {
            self.send(FeedUpdate::Listing(items, revision))?;
            self.send(FeedUpdate::Verified(requested_at))
        });
        sleep(LISTING_PAUSE).await;
        Ok(sent.map(|()| revision))
    }

    /// Reads a further page. Retries that page alone if the store is busy:
    /// reading the earlier pages again would add to its load.
    async fn next_page(&mut self, after: Option<&str>) -> Result<Page, StoreError> {
        let mut retries = 0;
        loop {
            match self.store.page(ALL_KEYS, after).await {
                Err(e) if retries < MAX_PAGE_RETRIES => {
                    retries += 1;
                    self.wait(retries).await;
                    log::debug!("retrying a page of the store: {e}");
                }
                result => return result,
            }
        }
    }

    async fn watch(&mut self, after: Revision) -> Result<Option<Revision>, StoreError> {
        let requested_at = self.clock.now();
        let max_wait = if self.verified { MAX_WATCH_WAIT } else { FIRST_WATCH_WAIT };
        let Changes { events, revision } = self.store.watch(ALL_KEYS, after, max_wait).await?;
        let revision = revision.max(after);
        // A response without changes is sent only after the whole wait.
        let verified_at = if events.is_empty() {
            (requested_at + max_wait).min(self.clock.now())
        } else {
            requested_at
        };
        let sent = self.record_success().and_then(|()| {
            self.send(FeedUpdate::Changes(events, revision))?;
            self.send(FeedUpdate::Verified(verified_at))
        });
        sleep(MIN_WATCH_INTERVAL.saturating_sub(self.clock.now().since(requested_at))).await;
        Ok(sent.map(|()| revision))
    }

    fn record_success(&mut self) -> Option<()> {
        self.verified = true;
        self.failures = 0;
        if std::mem::take(&mut self.unreachable) {
            self.send(FeedUpdate::Recovered)?;
        }
        Some(())
    }

    async fn record_failure(&mut self, e: StoreError) -> Option<()> {
        self.failures += 1;
        self.unreachable = true;
        self.send(FeedUpdate::CallFailed(e))?;
        self.wait(self.failures).await;
        Some(())
    }

    async fn wait(&self, failures: u32) {
        let wait = MIN_RETRY_WAIT * 2_u32.saturating_pow(failures.min(10) - 1);
        let wait = wait.min(MAX_RETRY_WAIT);
        sleep(wait.mul_f64(rand::random_range(0.5..1.0))).await;
    }

    fn send(&self, update: FeedUpdate) -> Option<()> {
        self.tx.send(update).ok()
    }
}

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
const EVERYTHING: &str = "";

/// Maximum wait of one watch. Each response verifies what is known, so this
/// bounds its staleness.
const WAIT: Duration = Duration::from_millis(1_000);

/// Minimum time between two watches. While hundreds of hosts start, each
/// registration is a change; one call for each change from each host would
/// exceed the store's rate limit. Far below the second after which changes have
/// to be in force.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after the first failed call; doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(40);

/// Maximum pause after a failed call; a host must receive changes well within
/// two seconds of the store's return.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Retries of one page before the listing starts again: about two seconds.
const MAX_PAGE_TRIES: u32 = 6;

/// An update from the store.
#[derive(Debug)]
pub(super) enum FeedNews {
    /// The first page of a listing, and the time at which it was requested.
    Part(Vec<Versioned>, MonoTime),
    /// All entries, as of a revision.
    All(Vec<Versioned>, Revision),
    /// Changes up to a revision.
    Changes(Vec<KvEvent>, Revision),
    /// Everything sent so far was current at this time.
    Proven(MonoTime),
    /// A call to the store failed.
    Lost(StoreError),
    /// The store responds again.
    Returned,
}

/// Watches the store after a revision, or lists it first if none is given,
/// until the receiver is dropped.
pub(super) async fn follow(
    store: Rc<dyn Store>,
    clock: Clock,
    after: Option<Revision>,
    tx: UnboundedSender<FeedNews>,
) {
    let mut feed = Feed { store, clock, tx, lost: false, failures: 0 };
    let mut after = after;
    while let Some(next) = feed.step(after).await {
        after = next;
    }
}

struct Feed {
    store: Rc<dyn Store>,
    clock: Clock,
    tx: UnboundedSender<FeedNews>,
    lost: bool,
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
            Ok(at) => at.map(Some),
            Err(StoreError::HistoryGone) => Some(None),
            Err(e) => {
                self.fail(e).await?;
                Some(after)
            }
        }
    }

    /// Lists all keys. The first page is sent at once: it holds the hosts and
    /// the configuration, and listing thousands of runners takes the store
    /// seconds while all hosts start.
    async fn list(&mut self) -> Result<Option<Revision>, StoreError> {
        let asked = self.clock.now();
        let Page { mut items, at, mut more } = self.store.page(EVERYTHING, None).await?;
        let mut told = self.answered();
        if more {
            told = told.and_then(|()| self.tell(FeedNews::Part(items.clone(), asked)));
        }
        while more && told.is_some() {
            let last = items.last().map(|item| item.key.clone());
            let page = self.rest(last.as_deref()).await?;
            more = page.more;
            items.extend(page.items);
        }
        let told = told.and_then(|()| {
            self.tell(FeedNews::All(items, at))?;
            self.tell(FeedNews::Proven(asked))
        });
        Ok(told.map(|()| at))
    }

    /// Reads a further page. Retries that page alone if the store is busy:
    /// reading the earlier pages again would add to its load.
    async fn rest(&mut self, after: Option<&str>) -> Result<Page, StoreError> {
        let mut tries = 0;
        loop {
            match self.store.page(EVERYTHING, after).await {
                Err(e) if tries < MAX_PAGE_TRIES => {
                    tries += 1;
                    self.pause(tries).await;
                    log::debug!("a page of the store is asked for again: {e}");
                }
                result => return result,
            }
        }
    }

    async fn watch(&mut self, after: Revision) -> Result<Option<Revision>, StoreError> {
        let asked = self.clock.now();
        let Changes { events, at } = self.store.watch(EVERYTHING, after, WAIT).await?;
        let at = at.max(after);
        // A response without changes is sent only after the whole wait.
        let proven = if events.is_empty() { (asked + WAIT).min(self.clock.now()) } else { asked };
        let told = self.answered().and_then(|()| {
            self.tell(FeedNews::Changes(events, at))?;
            self.tell(FeedNews::Proven(proven))
        });
        sleep(MIN_INTERVAL.saturating_sub(self.clock.now().since(asked))).await;
        Ok(told.map(|()| at))
    }

    fn answered(&mut self) -> Option<()> {
        self.failures = 0;
        if std::mem::take(&mut self.lost) {
            self.tell(FeedNews::Returned)?;
        }
        Some(())
    }

    async fn fail(&mut self, e: StoreError) -> Option<()> {
        self.failures += 1;
        self.lost = true;
        self.tell(FeedNews::Lost(e))?;
        self.pause(self.failures).await;
        Some(())
    }

    async fn pause(&self, failures: u32) {
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(failures.min(10) - 1);
        let pause = pause.min(LONGEST_PAUSE);
        sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
    }

    fn tell(&self, news: FeedNews) -> Option<()> {
        self.tx.send(news).ok()
    }
}

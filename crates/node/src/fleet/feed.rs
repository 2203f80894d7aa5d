//! Follows the store.
//!
//! One watch covers all keys of the fleet: each of its answers proves that
//! everything known is current, whatever it is about.

use std::{rc::Rc, time::Duration};

use comfreyway_core::time::MonoTime;
use comfreyway_platform::{Changes, KvEvent, Page, Revision, Store, StoreError, Versioned};
use tokio::{sync::mpsc::UnboundedSender, time::sleep};

use crate::control::Clock;

/// Prefix of all keys.
const EVERYTHING: &str = "";

/// Longest wait of one call for changes. Each answer proves what is known, so
/// this bounds the age of the proof.
const WAIT: Duration = Duration::from_millis(1_000);

/// Time between two calls for changes. While hundreds of hosts start, each one's
/// entry is a change; a call for each of them from each host is over the store's
/// rate. Far below the second after which changes have to be in force.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(40);

/// Longest pause after a failed call; a host is to hear of changes well within
/// two seconds of the store's return.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Tries for one more page before the list begins anew: some two seconds.
const MAX_PAGE_TRIES: u32 = 6;

/// What the store holds and what changes there.
#[derive(Debug)]
pub(super) enum FeedNews {
    /// The first part of everything, read after this time.
    Part(Vec<Versioned>, MonoTime),
    /// Everything, as of a revision.
    All(Vec<Versioned>, Revision),
    /// Changes up to a revision.
    Changes(Vec<KvEvent>, Revision),
    /// What was told so far was complete at this time.
    Proven(MonoTime),
    /// The store does not answer.
    Lost(StoreError),
    /// The store answers again.
    Returned,
}

/// Follows the store after a revision, or from a list where none is given,
/// until the receiver is gone.
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
    /// One call. Returns where to go on; none if nobody listens.
    async fn step(&mut self, after: Option<Revision>) -> Option<Option<Revision>> {
        let result = match after {
            None => self.list().await,
            Some(after) => self.watch(after).await,
        };
        match result {
            Ok(at) => at.map(Some),
            Err(StoreError::HistoryCompacted) => Some(None),
            Err(e) => {
                self.fail(e).await?;
                Some(after)
            }
        }
    }

    /// Lists everything. The first page is told at once: it holds the hosts and
    /// the configuration, and thousands of runners take the store seconds while
    /// all hosts start.
    async fn list(&mut self) -> Result<Option<Revision>, StoreError> {
        let asked = self.clock.now();
        let Page { mut items, revision: at, mut more } = self.store.page(EVERYTHING, None).await?;
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

    /// A further page. A store that is busy is asked for it again, as the pages
    /// before would only make it busier.
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
        let Changes { events, revision: at } = self.store.watch(EVERYTHING, after, WAIT).await?;
        let at = at.max(after);
        // An answer without changes was given after the whole wait.
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

//! Follows one prefix of the store.

use std::{rc::Rc, time::Duration};

use comfreyway_core::time::MonoTime;
use comfreyway_platform::{Changes, KvEvent, Listing, Revision, Store, StoreError, Versioned};
use tokio::{sync::mpsc::UnboundedSender, time::sleep};

use crate::control::Clock;

/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(40);

/// Longest pause after a failed call; a host is to hear of changes well within
/// two seconds of the store's return.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// What the store holds under a prefix, and what changes there.
#[derive(Debug)]
pub(super) enum FeedNews {
    /// Everything under the prefix.
    All(Vec<Versioned>),
    /// One change.
    Change(KvEvent),
    /// Everything told so far was complete at this time.
    Proven(MonoTime),
    /// The store does not answer.
    Lost(StoreError),
    /// The store answers again.
    Returned,
}

/// What is followed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Followed {
    pub(super) prefix: &'static str,
    /// Longest time that one call waits for changes.
    pub(super) wait: Duration,
}

/// Follows a prefix until the receiver is gone. `tag` marks the news.
pub(super) async fn follow<T>(
    store: Rc<dyn Store>,
    clock: Clock,
    followed: Followed,
    tag: T,
    tx: UnboundedSender<(T, FeedNews)>,
) where
    T: Copy,
{
    let mut feed = Feed { store, clock, followed, tag, tx, lost: false, failures: 0 };
    while feed.run().await.is_some() {}
}

struct Feed<T> {
    store: Rc<dyn Store>,
    clock: Clock,
    followed: Followed,
    tag: T,
    tx: UnboundedSender<(T, FeedNews)>,
    lost: bool,
    failures: u32,
}

impl<T> Feed<T>
where
    T: Copy,
{
    /// Lists once and watches until the history is gone. None if nobody listens.
    async fn run(&mut self) -> Option<()> {
        let asked = self.clock.now();
        let listed = self.store.list(self.followed.prefix).await;
        let Listing { items, at } = match listed {
            Ok(listing) => listing,
            Err(e) => return self.fail(e).await,
        };
        self.answered()?;
        self.tell(FeedNews::All(items))?;
        self.tell(FeedNews::Proven(asked))?;
        let mut after = at;
        loop {
            match self.watch(after).await {
                Ok(at) => after = at?,
                Err(StoreError::HistoryGone) => return Some(()),
                Err(e) => self.fail(e).await?,
            }
        }
    }

    async fn watch(&mut self, after: Revision) -> Result<Option<Revision>, StoreError> {
        let Followed { prefix, wait } = self.followed;
        let asked = self.clock.now();
        let Changes { events, at } = self.store.watch(prefix, after, wait).await?;
        // An answer without changes was given after the whole wait.
        let proven = if events.is_empty() { (asked + wait).min(self.clock.now()) } else { asked };
        let told = self.answered().and_then(|()| {
            for event in events {
                self.tell(FeedNews::Change(event))?;
            }
            self.tell(FeedNews::Proven(proven))
        });
        Ok(told.map(|()| at.max(after)))
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
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.failures.min(10) - 1);
        let pause = pause.min(LONGEST_PAUSE);
        sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
        Some(())
    }

    fn tell(&self, news: FeedNews) -> Option<()> {
        self.tx.send((self.tag, news)).ok()
    }
}

//! Response streams.

use std::{io, sync::Arc};

use actix_rt::task::yield_now;
use bytes::Bytes;
use futures_util::{Stream, stream::unfold};
use tokio::sync::watch;

use super::{
    job::{End, Job, Progress},
    render,
};

/// Reads the progress of a request. Cancels the request on drop if the engine
/// doesn't support resume.
pub(super) struct Reader {
    job: Arc<Job>,
    cancel_on_drop: bool,
}

impl Reader {
    pub(super) fn new(job: Arc<Job>, cancel_on_drop: bool) -> Self {
        Self { job, cancel_on_drop }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        if self.cancel_on_drop {
            self.job.cancel();
        }
    }
}

struct State {
    reader: Reader,
    progress: watch::Receiver<Progress>,
    next: u32,
    cut_after: Option<u32>,
}

/// The events after number `after`. The connection is closed after event
/// `cut_after`, or when the request is cancelled.
pub(super) fn events(
    reader: Reader,
    after: u32,
    cut_after: Option<u32>,
) -> impl Stream<Item = io::Result<Bytes>> + 'static {
    let progress = reader.job.progress.subscribe();
    unfold(State { reader, progress, next: after + 1, cut_after }, next)
}

async fn next(mut state: State) -> Option<(io::Result<Bytes>, State)> {
    if state.cut_after.is_some_and(|last| state.next > last) {
        // Lets the server flush what it has before the connection is closed.
        yield_now().await;
        return Some((Err(io::Error::other("cut on purpose")), state));
    }
    let job = state.reader.job.clone();
    if state.next > render::event_count(&job) {
        return None;
    }
    let first = state.next;
    // Fails only if the sender is dropped, and the job owns it.
    let progress = *state.progress.wait_for(|p| p.end.is_some() || p.tokens >= first).await.ok()?;
    if progress.end == Some(End::Cancelled) {
        return Some((Err(io::Error::other("cancelled")), state));
    }
    let complete = progress.end == Some(End::Complete);
    let available = if complete { render::event_count(&job) } else { progress.tokens };
    let last = state.cut_after.map_or(available, |cut| cut.min(available));
    let mut out = String::new();
    for number in first..=last {
        render::event(&mut out, &job, number, &progress);
    }
    state.next = last + 1;
    Some((Ok(Bytes::from(out)), state))
}

/// The complete response body, or none if the request is cancelled.
pub(super) async fn complete(reader: Reader) -> Option<String> {
    let mut progress = reader.job.progress.subscribe();
    let progress = *progress.wait_for(|p| p.end.is_some()).await.ok()?;
    (progress.end == Some(End::Complete)).then(|| render::complete(&reader.job, &progress))
}

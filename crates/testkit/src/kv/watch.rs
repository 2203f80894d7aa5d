//! The streamed reply of a watch.

use std::{io, sync::Arc};

use bytes::Bytes;
use comfreyway_platform::{
    KvEvent, PlatformError, Revision, Versioned,
    etcd::wire::{Event, EventKind, Streamed, WatchResponse},
};
use futures_util::{
    Stream,
    stream::{LocalBoxStream, StreamExt, unfold},
};

use super::{Outage, Shared, handlers::record};

type Changes = LocalBoxStream<'static, Result<KvEvent, PlatformError>>;

/// Counts a watch for as long as it waits.
struct Waiting(Arc<Shared>);

impl Waiting {
    fn new(shared: Arc<Shared>) -> Self {
        shared.counters.watch_started();
        Self(shared)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.counters.watch_ended();
    }
}

struct State {
    waiting: Waiting,
    changes: Changes,
    created: bool,
}

/// One line per message. Breaks off in an outage that cuts, and is silent in
/// one that hangs.
pub(super) fn lines(
    shared: Arc<Shared>,
    prefix: &str,
    after: Revision,
) -> impl Stream<Item = io::Result<Bytes>> + 'static {
    let changes = shared.store.changes(prefix, after);
    let state = State { waiting: Waiting::new(shared), changes, created: false };
    unfold(state, next)
}

async fn next(mut state: State) -> Option<(io::Result<Bytes>, State)> {
    if !state.created {
        state.created = true;
        let message = WatchResponse { created: true, ..WatchResponse::default() };
        return Some((Ok(line(message)), state));
    }
    let mut outages = state.waiting.0.faults.outages();
    let cut = async {
        // The sender lives as long as the shared state.
        let _ = outages.wait_for(|&o| o.is_some_and(|o| o != Outage::Hang)).await;
    };
    let event = tokio::select! {
        biased;
        () = cut => None,
        event = state.changes.next() => event,
    };
    match event {
        Some(Ok(event)) => {
            state.passed_outage().await;
            Some((Ok(line(change(event))), state))
        }
        Some(Err(_)) => {
            let message = WatchResponse { canceled: true, ..WatchResponse::default() };
            Some((Ok(line(message)), state))
        }
        None => Some((Err(io::Error::other("cut on purpose")), state)),
    }
}

impl State {
    /// Waits while the service hangs, then delays as set.
    async fn passed_outage(&self) {
        let faults = &self.waiting.0.faults;
        let _ = faults.outages().wait_for(|&o| o != Some(Outage::Hang)).await;
        let delay = faults.delay();
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
    }
}

fn change(event: KvEvent) -> WatchResponse {
    let event = match event {
        KvEvent::Put(entry) => Event { kind: EventKind::Put, kv: record(entry) },
        KvEvent::Delete { key, revision } => {
            let gone = Versioned { key, value: Vec::new(), revision };
            Event { kind: EventKind::Delete, kv: record(gone) }
        }
    };
    WatchResponse { events: vec![event], ..WatchResponse::default() }
}

fn line(message: WatchResponse) -> Bytes {
    let mut buf = serde_json::to_vec(&Streamed::Result(message)).unwrap_or_default();
    buf.push(b'\n');
    Bytes::from(buf)
}

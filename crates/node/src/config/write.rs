//! Writes one change to the key-value service.

use std::time::Duration;

use comfreyway_core::config::{
    Change, ChangeId, ChangeOutcome, ChangeWriter, UnknownCause, WriterStep,
};
use tokio::{
    sync::Mutex,
    time::{sleep, timeout},
};

use super::store::ConfigStore;

/// Time after which the outcome of an undecided change is reported as unknown.
pub(crate) const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Wait before a failed call is retried.
const RETRY_WAIT: Duration = Duration::from_millis(150);

/// Writes a change, within [`CHANGE_TIMEOUT`]. `write_lock` is held while the
/// change is written, so that this host writes one change at a time.
/// `min_version` is the version in force.
pub(crate) async fn write_change(
    store: &ConfigStore,
    write_lock: &Mutex<()>,
    change: Change,
    now_ms: u64,
    min_version: u64,
) -> ChangeOutcome {
    let id = change.id;
    let steps = async {
        let _guard = write_lock.lock().await;
        run_steps(store, ChangeWriter::new(change, now_ms).with_min_version(min_version)).await
    };
    timeout(CHANGE_TIMEOUT, steps).await.unwrap_or(timed_out(id))
}

async fn run_steps(store: &ConfigStore, mut writer: ChangeWriter) -> ChangeOutcome {
    let mut step = writer.start();
    loop {
        step = match step {
            WriterStep::Read { after_failure } => {
                if after_failure {
                    sleep(RETRY_WAIT).await;
                }
                writer.on_read(store.read().await.ok())
            }
            WriterStep::Swap { expected, next } => {
                writer.on_swap(store.swap(expected, &next).await)
            }
            WriterStep::Done(outcome) => return outcome,
        };
    }
}

fn timed_out(id: ChangeId) -> ChangeOutcome {
    ChangeOutcome::Unknown { id, cause: UnknownCause::ServiceDown }
}

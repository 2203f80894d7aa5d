//! Measures the queue of the control thread.

use std::time::{Duration, Instant};

use crate::control::ControlHandle;

use super::TrafficMetrics;

/// Time between two probes.
const INTERVAL: Duration = Duration::from_secs(1);

/// Sends a question through the queue of the control thread once a second and
/// records the time to its answer. Ends with the control thread.
///
/// A probe costs the same whatever the load, unlike a time stamp on each
/// message, and sees the delay that a request sees.
pub(crate) async fn probe_control(control: ControlHandle, metrics: TrafficMetrics) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        let sent = Instant::now();
        if control.status().await.is_err() {
            return;
        }
        metrics.control_queue(sent.elapsed());
    }
}

//! Measures the queue delay of the control thread.

use std::time::{Duration, Instant};

use crate::control::ControlHandle;

use super::TrafficMetrics;

/// Interval between two probes.
const INTERVAL: Duration = Duration::from_secs(1);

/// Sends a status request through the queue of the control thread once a second
/// and records the time until its reply. Ends with the control thread.
///
/// The cost of a probe does not depend on the load, unlike a time stamp on each
/// message, and it sees the same delay as a request.
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

//! Planned stop of a daemon.

use std::time::Duration;

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    control::ControlHandle,
    http::{Phase, TrafficState},
};

/// Maximum wait of a drained daemon until other hosts own its pools.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Interval between checks of the owned pools.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Signals that start a planned stop.
pub(crate) struct StopSignals {
    terminate: Signal,
    hang_up: Signal,
    interrupt: Signal,
}

/// Result of draining.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DrainResult {
    /// Every request was completed.
    Drained,
    /// A second signal aborted the remaining requests.
    SecondSignal,
    /// The stop timeout aborted the remaining requests.
    Timeout,
}

impl StopSignals {
    /// Registers the signal handlers.
    pub(crate) fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            hang_up: signal(SignalKind::hangup())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.hang_up.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Refuses new requests and waits until those in progress are completed. A
/// second signal or the timeout aborts the remaining ones.
pub(crate) async fn drain(
    traffic: &TrafficState,
    signals: &mut StopSignals,
    limit: Option<Duration>,
) -> DrainResult {
    traffic.set_phase(Phase::Draining);
    let deadline = limit.map(|limit| Instant::now() + limit);
    let end = tokio::select! {
        () = traffic.wait_idle() => DrainResult::Drained,
        () = signals.next() => DrainResult::SecondSignal,
        () = wait_until_deadline(deadline) => DrainResult::Timeout,
    };
    if end != DrainResult::Drained {
        traffic.set_phase(Phase::Aborting);
    }
    end
}

/// Waits until other hosts own every pool of this host, or until the timeout.
pub(crate) async fn hand_over(control: &ControlHandle) {
    let owns_nothing = async {
        while control.status().await.is_ok_and(|status| !status.owned.is_empty()) {
            sleep(HANDOVER_POLL_INTERVAL).await;
        }
    };
    // After the timeout, the other hosts take over the pools as after a
    // failure.
    let _ = timeout(HANDOVER_TIMEOUT, owns_nothing).await;
}

async fn wait_until_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

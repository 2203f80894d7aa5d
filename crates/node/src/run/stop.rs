//! The planned stop.

use std::time::Duration;

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    control::ControlHandle,
    http::{Phase, TrafficState},
};

/// Longest wait of a drained daemon for others to own its pools.
const HAND_OVER_LIMIT: Duration = Duration::from_millis(3_000);

/// Time between two looks at the owned pools.
const HAND_OVER_POLL: Duration = Duration::from_millis(10);

/// The signals that begin a planned stop.
pub(crate) struct StopSignals {
    terminate: Signal,
    hang_up: Signal,
    interrupt: Signal,
}

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopEnd {
    /// Every request was answered.
    Drained,
    /// A second signal cut what was left.
    SecondSignal,
    /// The operators' limit cut what was left.
    Limit,
}

impl StopSignals {
    /// Listens for the signals.
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

/// Refuses new work and waits until every request is answered, or until a
/// second signal or the limit cuts what is left.
pub(crate) async fn drain(
    traffic: &TrafficState,
    signals: &mut StopSignals,
    limit: Option<Duration>,
) -> StopEnd {
    traffic.set_phase(Phase::Draining);
    let deadline = limit.map(|limit| Instant::now() + limit);
    let end = tokio::select! {
        () = traffic.wait_idle() => StopEnd::Drained,
        () = signals.next() => StopEnd::SecondSignal,
        () = limit_reached(deadline) => StopEnd::Limit,
    };
    if end != StopEnd::Drained {
        traffic.set_phase(Phase::Aborting);
    }
    end
}

/// Waits until other hosts own every pool of this one, or give no sign of it.
pub(crate) async fn hand_over(control: &ControlHandle) {
    let owns_nothing = async {
        while control.status().await.is_ok_and(|status| !status.owned.is_empty()) {
            sleep(HAND_OVER_POLL).await;
        }
    };
    // Without an answer in time, the pools are followed as after a failure.
    let _ = timeout(HAND_OVER_LIMIT, owns_nothing).await;
}

async fn limit_reached(deadline: Option<Instant>) {
    match deadline {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

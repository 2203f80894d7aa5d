//! The planned stop.

use std::time::Duration;

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{Instant, sleep_until},
};

use crate::http::{Phase, Traffic};

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
    traffic: &Traffic,
    signals: &mut StopSignals,
    limit: Option<Duration>,
) -> StopEnd {
    traffic.set_phase(Phase::Stopping);
    let deadline = limit.map(|limit| Instant::now() + limit);
    let end = tokio::select! {
        () = traffic.wait_idle() => StopEnd::Drained,
        () = signals.next() => StopEnd::SecondSignal,
        () = limit_reached(deadline) => StopEnd::Limit,
    };
    if end != StopEnd::Drained {
        traffic.set_phase(Phase::Cutting);
    }
    end
}

async fn limit_reached(deadline: Option<Instant>) {
    match deadline {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

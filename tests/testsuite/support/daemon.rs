//! A daemon that prints its log if the test fails.

use std::{
    ops::{Deref, DerefMut},
    path::Path,
    thread,
};

use comfreyway_testkit::daemon::{DaemonProcess, DaemonSettings};

use super::Caller;

/// Lines at the end of a log that are printed when a test fails.
const LOG_TAIL_LINES: usize = 60;

/// A running daemon. Killed on drop.
pub(crate) struct Daemon(DaemonProcess);

impl Daemon {
    /// Starts a daemon without waiting for it.
    pub(crate) fn start(settings: DaemonSettings) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_comfreywayd"));
        Self(DaemonProcess::start(program, &[], settings).unwrap())
    }

    /// Starts a daemon and waits until it is ready.
    pub(crate) async fn start_ready(settings: DaemonSettings) -> Self {
        let mut daemon = Self::start(settings);
        daemon.ready().await.unwrap();
        daemon
    }

    /// Returns a caller of this daemon.
    pub(crate) fn caller(&self) -> Caller {
        Caller::new(self.settings().callers)
    }
}

impl Deref for Daemon {
    type Target = DaemonProcess;

    fn deref(&self) -> &DaemonProcess {
        &self.0
    }
}

impl DerefMut for Daemon {
    fn deref_mut(&mut self) -> &mut DaemonProcess {
        &mut self.0
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if thread::panicking() {
            let log = self.log();
            let lines: Vec<_> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..];
            eprintln!("--- log of {}\n{}", self.settings().name, tail.join("\n"));
        }
    }
}

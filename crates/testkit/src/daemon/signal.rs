//! Signals to child processes.

use std::io;

/// A signal to a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Starts a planned stop.
    Terminate,
    /// Kills the process.
    Kill,
    /// Starts a planned stop. A host of a fleet only logs that settings changed.
    Hangup,
    /// Suspends the process.
    Stop,
    /// Resumes a suspended process.
    Continue,
}

impl Signal {
    fn number(self) -> libc::c_int {
        match self {
            Self::Terminate => libc::SIGTERM,
            Self::Kill => libc::SIGKILL,
            Self::Hangup => libc::SIGHUP,
            Self::Stop => libc::SIGSTOP,
            Self::Continue => libc::SIGCONT,
        }
    }
}

/// Sends a signal to a child process that has not been waited for. The process
/// ID can't have been reused then.
pub(crate) fn send(pid: u32, signal: Signal) -> io::Result<()> {
    let pid = libc::pid_t::try_from(pid).map_err(io::Error::other)?;
    #[allow(unsafe_code)]
    // SAFETY: `kill` takes two numbers and touches no memory of this process.
    let result = unsafe { libc::kill(pid, signal.number()) };
    if result == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}

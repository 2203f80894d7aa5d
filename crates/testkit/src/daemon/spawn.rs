//! Starts processes one at a time.

use std::{
    io,
    process::{Child, Command},
    sync::{Mutex, MutexGuard, PoisonError},
};

static SPAWNING: Mutex<()> = Mutex::new(());

/// Starts a process while nobody in this process probes for an unused address.
///
/// A child holds a copy of every socket until its program begins. A probe that
/// was closed meanwhile would still occupy its port, and a daemon that is told
/// to use it would fail.
///
/// # Errors
///
/// Fails if the program can't be started.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _lock = lock();
    command.spawn()
}

/// Keeps processes from being started.
pub(super) fn lock() -> MutexGuard<'static, ()> {
    SPAWNING.lock().unwrap_or_else(PoisonError::into_inner)
}

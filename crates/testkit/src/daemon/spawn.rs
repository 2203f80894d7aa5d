//! Starting of child processes.

use std::{
    io,
    process::{Child, Command},
    sync::{Mutex, MutexGuard, PoisonError},
};

static SPAWNING: Mutex<()> = Mutex::new(());

/// Starts a process while no call of [`unused_address`](super::unused_address)
/// is running.
///
/// A child inherits every socket until it executes its program. A listener that
/// was closed in the meantime would still occupy its port, and a daemon that
/// binds that port would fail.
///
/// # Errors
///
/// Fails if the program can't be started.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _lock = lock_spawning();
    command.spawn()
}

/// Blocks [`spawn`] while the guard is held.
pub(super) fn lock_spawning() -> MutexGuard<'static, ()> {
    SPAWNING.lock().unwrap_or_else(PoisonError::into_inner)
}

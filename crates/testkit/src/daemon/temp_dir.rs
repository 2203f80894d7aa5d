//! Temporary directories.

use std::{
    env, fs, io,
    path::{Path, PathBuf},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// A directory that is removed with its contents on drop.
#[derive(Debug)]
pub struct TempDir {
    path: PathBuf,
}

impl TempDir {
    /// Creates a directory with a unique name.
    ///
    /// # Errors
    ///
    /// Fails if the directory can't be created.
    pub fn new() -> io::Result<Self> {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let path = env::temp_dir().join(format!("comfreyway-{}-{number}", process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// Writes a file and returns its path.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.path.join(name);
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Path of the directory.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        // A directory that can't be removed stays in the system's temporary directory.
        let _ = fs::remove_dir_all(&self.path);
    }
}

//! One daemon process.

use std::{
    fs::{self, File},
    io,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
};

use awc::Client;

use super::{
    DaemonSettings, Signal, TempDir,
    signal::send,
    spawn::spawn,
    wait::{MAX_WAIT, eventually},
};

/// A running daemon. Killed on drop.
pub struct DaemonProcess {
    settings: DaemonSettings,
    dir: TempDir,
    child: Child,
    client: Client,
}

impl DaemonProcess {
    /// Starts a daemon without waiting until it is ready. Runs `program` with
    /// `args` and appends the option for the settings file.
    ///
    /// # Errors
    ///
    /// Fails if the settings can't be written or the program can't be started.
    pub fn start(program: &Path, args: &[&str], settings: DaemonSettings) -> io::Result<Self> {
        let dir = TempDir::new()?;
        let file = dir.write("comfreywayd.ini", &settings.text())?;
        let log = File::create(dir.path().join("log"))?;
        let mut command = Command::new(program);
        command
            .args(args)
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log));
        let child = spawn(&mut command)?;
        Ok(Self { settings, dir, child, client: Client::default() })
    }

    /// Waits until the daemon reports that it is ready.
    ///
    /// # Errors
    ///
    /// Fails if the daemon exits or is not ready within [`MAX_WAIT`].
    pub async fn ready(&mut self) -> io::Result<()> {
        let ready = eventually(|| {
            let ended = self.child.try_wait();
            let response = self.client.get(self.ready_url()).send();
            async move {
                match ended {
                    Ok(None) => {}
                    Ok(Some(status)) => return Some(Err(io::Error::other(status.to_string()))),
                    Err(e) => return Some(Err(e)),
                }
                response.await.ok().filter(|res| res.status().is_success()).map(|_| Ok(()))
            }
        })
        .await;
        let late = || io::Error::other(format!("not ready within {} s", MAX_WAIT.as_secs()));
        ready.ok_or_else(late)?
    }

    /// Returns true if the daemon reports now that it is ready.
    pub async fn is_ready(&self) -> bool {
        let response = self.client.get(self.ready_url()).send().await;
        response.is_ok_and(|res| res.status().is_success())
    }

    /// The settings of the daemon.
    #[must_use]
    pub fn settings(&self) -> &DaemonSettings {
        &self.settings
    }

    /// Returns the process ID of the daemon.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Reads the metrics page.
    ///
    /// # Errors
    ///
    /// Fails if the page can't be read.
    pub async fn metrics(&self) -> io::Result<String> {
        let url = format!("http://{}/metrics", self.settings.operators);
        let mut res =
            self.client.get(url).send().await.map_err(|e| io::Error::other(e.to_string()))?;
        let body = res.body().await.map_err(io::Error::other)?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited and has been waited for.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        send(self.child.id(), signal)
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    ///
    /// Fails if the process does not exit within [`MAX_WAIT`].
    pub async fn exited(&mut self) -> io::Result<ExitStatus> {
        let status = eventually(|| {
            let status = self.child.try_wait().ok().flatten();
            async move { status }
        });
        let late = || io::Error::other(format!("not exited within {} s", MAX_WAIT.as_secs()));
        status.await.ok_or_else(late)
    }

    /// Returns true if the process has exited.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// The log of the daemon so far, or an empty text if it can't be read.
    #[must_use]
    pub fn log(&self) -> String {
        fs::read_to_string(self.dir.path().join("log")).unwrap_or_default()
    }

    fn ready_url(&self) -> String {
        format!("http://{}/ready", self.settings.operators)
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Both fail only if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

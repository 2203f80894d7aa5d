//! A runner that is a process of its own: the example `runner_process`.

use std::{
    collections::BTreeMap,
    env, fs, io,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use crate::daemon::{Signal, TempDir, send, spawn, unused_address};

/// How a runner process works.
#[derive(Clone, Copy, Debug)]
pub struct RunnerOptions {
    /// Seed of its faults and times of work.
    pub seed: u64,
    /// Mean time of work on a request, in milliseconds.
    pub work_ms: u64,
    /// Number of requests that run at once; more are rejected.
    pub slots: usize,
    /// Connections that the kernel holds until the runner accepts them.
    pub backlog: u32,
    /// Of a thousand requests, those at which a fault occurs.
    pub faults_per_mille: u32,
}

/// A request that began to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Beginning {
    /// Time since the Unix epoch, in milliseconds.
    pub at_ms: u64,
    /// Name of the runner.
    pub runner: String,
}

/// A runner process, which may be killed and started again on its address. Killed on drop.
///
/// Cargo builds its program along with the tests of all packages, or by
/// `cargo build -p comfreyway-testkit --example runner_process`.
#[derive(Debug)]
pub struct RunnerProcess {
    name: String,
    address: SocketAddr,
    options: RunnerOptions,
    starts: u64,
    dir: TempDir,
    child: Child,
}

impl RunnerProcess {
    /// Starts a runner with this name.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound or the program can't be started.
    pub fn start(name: &str, options: RunnerOptions) -> io::Result<Self> {
        let (address, dir) = (unused_address()?, TempDir::new()?);
        let child = start(name, address, options, &dir)?;
        Ok(Self { name: name.to_owned(), address, options, starts: 1, dir, child })
    }

    /// Kills the process and starts it again on the same address, under this name.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started.
    pub fn restart(&mut self, name: &str) -> io::Result<()> {
        self.kill();
        self.options.seed = self.options.seed.wrapping_add(self.starts << 32);
        self.starts += 1;
        name.clone_into(&mut self.name);
        self.child = start(name, self.address, self.options, &self.dir)?;
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Both fail only if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Name of the runner.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Address of the runner.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns true if the process has exited.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited and has been waited for.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        send(self.child.id(), signal)
    }

    /// Returns the requests that began to run since the first start, by ID.
    #[must_use]
    pub fn beginnings(&self) -> BTreeMap<String, Vec<Beginning>> {
        let log = fs::read_to_string(self.dir.path().join(LOG)).unwrap_or_default();
        let mut beginnings = BTreeMap::<String, Vec<Beginning>>::new();
        for line in log.lines() {
            let mut words = line.split(' ');
            if let (Some(id), Some(at), Some(runner)) = (words.next(), words.next(), words.next()) {
                let at_ms = at.parse().unwrap_or(0);
                let beginning = Beginning { at_ms, runner: runner.to_owned() };
                beginnings.entry(id.to_owned()).or_default().push(beginning);
            }
        }
        beginnings
    }
}

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

const LOG: &str = "beginnings";

fn start(
    name: &str,
    address: SocketAddr,
    options: RunnerOptions,
    dir: &TempDir,
) -> io::Result<Child> {
    let mut command = Command::new(program()?);
    command.args(["--address", &address.to_string(), "--name", name]);
    command.arg("--log").arg(dir.path().join(LOG));
    command.args(["--seed", &options.seed.to_string()]);
    command.args(["--work-ms", &options.work_ms.to_string()]);
    command.args(["--slots", &options.slots.to_string()]);
    command.args(["--backlog", &options.backlog.to_string()]);
    command.args(["--faults-per-mille", &options.faults_per_mille.to_string()]);
    spawn(command.stdin(Stdio::null()).stderr(Stdio::null()))
}

/// Cargo builds the examples of a package along with its tests, into a directory next to
/// that of the tests.
fn program() -> io::Result<PathBuf> {
    let test = env::current_exe()?;
    let profile = test.parent().and_then(|deps| deps.parent());
    let program = profile.map(|profile| profile.join("examples").join("runner_process"));
    program.filter(|program| program.exists()).ok_or_else(|| {
        io::Error::other("cargo build -p comfreyway-testkit --example runner_process first")
    })
}

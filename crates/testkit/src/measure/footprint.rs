//! Memory and descriptors that one process holds, sampled until the sampler is stopped.

use std::{
    fs, io,
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use super::ProcessSample;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// State of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";

/// The most that a process held at any sampled time.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeakFootprint {
    /// Resident memory and bytes received but not read, in bytes.
    pub memory_bytes: u64,
    /// Bytes received but not read at that time.
    pub unread_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Samples a process on a thread of its own.
pub struct FootprintSampler {
    pid: u32,
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<PeakFootprint>,
}

impl FootprintSampler {
    /// Starts to sample the process that listens on this address.
    #[must_use]
    pub fn start(pid: u32, listener: SocketAddrV4) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let seen = stopped.clone();
        let thread = thread::spawn(move || {
            let mut peak = PeakFootprint::default();
            while !seen.load(Ordering::Relaxed) {
                if add_sample(&mut peak, pid, listener).is_err() {
                    break;
                }
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Self { pid, stopped, thread }
    }

    /// Stops sampling and returns the peak, which includes the peak of the resident memory
    /// that the kernel recorded.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn stop(self) -> io::Result<PeakFootprint> {
        self.stopped.store(true, Ordering::Relaxed);
        let mut peak = self.thread.join().map_err(|_| io::Error::other("the sampler panicked"))?;
        let recorded = peak_resident_bytes(self.pid)?;
        if recorded > peak.memory_bytes {
            peak.memory_bytes = recorded;
            peak.unread_bytes = 0;
        }
        Ok(peak)
    }
}

fn add_sample(peak: &mut PeakFootprint, pid: u32, listener: SocketAddrV4) -> io::Result<()> {
    let resident_bytes = ProcessSample::read(pid)?.resident_bytes;
    let unread_bytes = unread_bytes(listener)?;
    if resident_bytes + unread_bytes > peak.memory_bytes {
        peak.memory_bytes = resident_bytes + unread_bytes;
        peak.unread_bytes = unread_bytes;
    }
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd"))?.count();
    peak.descriptors = peak.descriptors.max(descriptors);
    Ok(())
}

/// Returns the bytes that clients on this machine have written to a listener's connections
/// and that it has not read.
///
/// # Errors
///
/// Fails if the table of connections can't be read.
pub fn in_transit_bytes(listener: SocketAddrV4) -> io::Result<u64> {
    let unsent = sum_of_connections(|connection| {
        (connection.remote == table_address(listener)).then_some(connection.unsent)
    });
    Ok(unsent? + unread_bytes(listener)?)
}

/// Returns the bytes that wait in the receive buffers of all connections to a listener.
fn unread_bytes(listener: SocketAddrV4) -> io::Result<u64> {
    sum_of_connections(|connection| {
        (connection.local == table_address(listener)).then_some(connection.unread)
    })
}

/// A line of `/proc/net/tcp`.
struct Connection<'a> {
    local: &'a str,
    remote: &'a str,
    unsent: u64,
    unread: u64,
}

fn sum_of_connections(bytes: impl Fn(&Connection<'_>) -> Option<u64>) -> io::Result<u64> {
    let table = fs::read_to_string("/proc/net/tcp")?;
    let connections = table.lines().filter_map(read_connection);
    Ok(connections.filter_map(|connection| bytes(&connection)).sum())
}

fn read_connection(line: &str) -> Option<Connection<'_>> {
    let mut fields = line.split_whitespace().skip(1);
    let (local, remote, state) = (fields.next()?, fields.next()?, fields.next()?);
    let (unsent, unread) = fields.next()?.split_once(':')?;
    let bytes = |text| u64::from_str_radix(text, 16).ok();
    let connection = Connection { local, remote, unsent: bytes(unsent)?, unread: bytes(unread)? };
    (state != LISTENING).then_some(connection)
}

/// Returns an address as `/proc/net/tcp` shows it.
fn table_address(address: SocketAddrV4) -> String {
    format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port())
}

fn peak_resident_bytes(pid: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.map(|kib| kib * 1024).ok_or_else(|| io::Error::other("the process has exited"))
}

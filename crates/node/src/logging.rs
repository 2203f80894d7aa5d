//! The daemon's log on standard output.
//!
//! Lines pass through a bounded queue to a writer thread, so that a blocked
//! standard output never delays a request. Lines that don't fit are dropped and
//! counted, and the count is logged once the queue has capacity again.
//! Warnings, errors and refused requests may use the whole queue, other lines
//! only three quarters of it.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc::{SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use crate::events::Event;

/// Capacity of the queue in lines: a few seconds of log at a host's full load.
const MAX_QUEUED_LINES: usize = 4_096;

/// Queue length from which only important lines are accepted.
const MAX_ORDINARY_LINES: usize = MAX_QUEUED_LINES * 3 / 4;

/// Maximum wait for the queue to drain when the process ends.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval between checks of the queue when the process ends.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Substrings that mark a line as important: warnings, errors, and refused
/// requests (CF0502).
const IMPORTANT_MARKERS: [&[u8]; 3] = [b" WARN ", b" ERROR ", b"event=CF0502"];

/// Log lines dropped since the start of the process.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of log lines dropped since the start of the process.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Queues lines for the writer thread.
#[derive(Debug)]
pub struct QueueWriter {
    tx: SyncSender<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

impl QueueWriter {
    /// Returns a handle that waits until the queue is empty.
    #[must_use]
    pub fn drain(&self) -> LogDrain {
        LogDrain(self.waiting.clone())
    }

    /// Starts a writer thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start<W>(mut out: W) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (tx, rx) = sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
        let waiting = Arc::new(AtomicUsize::new(0));
        let dropped = Arc::new(AtomicU64::new(0));
        let writer = Self { tx, waiting: waiting.clone(), dropped: dropped.clone() };
        thread::Builder::new().name("log".to_owned()).spawn(move || {
            for line in rx {
                let count = dropped.swap(0, Ordering::Relaxed);
                // If the log can't be written, later lines can't be either.
                let written = match count {
                    0 => Ok(()),
                    count => writeln!(out, "{}", dropped_line(count)),
                };
                let written = written.and_then(|()| out.write_all(&line));
                let written = written.and_then(|()| out.flush());
                waiting.fetch_sub(1, Ordering::Relaxed);
                if written.is_err() {
                    return;
                }
            }
        })?;
        Ok(writer)
    }
}

/// Waits at the end of the process until the queue is empty.
#[derive(Clone, Debug)]
pub struct LogDrain(Arc<AtomicUsize>);

impl LogDrain {
    /// Waits until all lines are written, up to a time limit in case nobody
    /// reads standard output.
    pub fn wait(&self) {
        let limit = Instant::now() + DRAIN_TIMEOUT;
        while self.0.load(Ordering::Relaxed) > 0 && Instant::now() < limit {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }
}

fn dropped_line(lines: u64) -> String {
    let event = Event::LinesDropped;
    format!("{} {} event={} lines={lines}", event.level(), event.text(), event.code())
}

impl Write for QueueWriter {
    /// Queues one line, or drops it if the queue is full.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let important =
            || IMPORTANT_MARKERS.iter().any(|part| line.windows(part.len()).any(|w| w == *part));
        let accepted =
            self.waiting.fetch_add(1, Ordering::Relaxed) < MAX_ORDINARY_LINES || important();
        let sent =
            if accepted { self.tx.try_send(line.to_vec()) } else { Err(queue_full_error(line)) };
        if sent.is_err() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn queue_full_error(_: &[u8]) -> TrySendError<Vec<u8>> {
    TrySendError::Full(Vec::new())
}

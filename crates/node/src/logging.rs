//! The daemon's log on standard output.
//!
//! Lines go through a queue of fixed size to a thread that writes them, so that
//! a reader that stops reading standard output never slows a request. What finds
//! the queue too full is dropped and counted, and the count is written once
//! there is room again. Warnings and errors, and the refusals of requests, may
//! use the whole queue, other lines only a part of it.

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

/// Most lines that wait to be written: some seconds of a host's full load.
const QUEUE_LINES: usize = 4_096;

/// Lines that wait from which on only important ones are taken.
const USUAL_LINES: usize = QUEUE_LINES * 3 / 4;

/// Longest wait for the queue at the end of the process.
const DRAIN_TIME: Duration = Duration::from_millis(200);

/// Time between two looks at the queue at the end of the process.
const DRAIN_POLL: Duration = Duration::from_millis(1);

/// Parts of a line that make it important.
const IMPORTANT: [&[u8]; 3] = [b" WARN ", b" ERROR ", b"event=CF0502"];

/// Lines that the process's log has dropped since the start.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines that the process's log has dropped since the start.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Hands lines to the thread that writes them.
#[derive(Debug)]
pub struct QueueWriter {
    tx: SyncSender<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

impl QueueWriter {
    /// The way to wait for the lines that it took.
    #[must_use]
    pub fn drain(&self) -> LogDrain {
        LogDrain(self.waiting.clone())
    }

    /// Starts a thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start<W>(mut out: W) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (tx, rx) = sync_channel::<Vec<u8>>(QUEUE_LINES);
        let waiting = Arc::new(AtomicUsize::new(0));
        let dropped = Arc::new(AtomicU64::new(0));
        let writer = Self { tx, waiting: waiting.clone(), dropped: dropped.clone() };
        thread::Builder::new().name("log".to_owned()).spawn(move || {
            for line in rx {
                let lost = dropped.swap(0, Ordering::Relaxed);
                // Nobody reads a log that can't be written.
                let written = match lost {
                    0 => Ok(()),
                    lost => writeln!(out, "{}", dropped_line(lost)),
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

/// Waits at the end of the process for the lines that are still in the queue.
#[derive(Clone, Debug)]
pub struct LogDrain(Arc<AtomicUsize>);

impl LogDrain {
    /// Waits until everything is written, but not without limit: nobody may
    /// read the log.
    pub fn wait(&self) {
        let limit = Instant::now() + DRAIN_TIME;
        while self.0.load(Ordering::Relaxed) > 0 && Instant::now() < limit {
            thread::sleep(DRAIN_POLL);
        }
    }
}

fn dropped_line(lines: u64) -> String {
    let event = Event::LinesDropped;
    format!("{} {} event={} lines={lines}", event.level(), event.text(), event.code())
}

impl Write for QueueWriter {
    /// Takes one line, or drops it.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let important =
            || IMPORTANT.iter().any(|part| line.windows(part.len()).any(|w| w == *part));
        let taken = self.waiting.fetch_add(1, Ordering::Relaxed) < USUAL_LINES || important();
        let sent = if taken { self.tx.try_send(line.to_vec()) } else { Err(full(line)) };
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

fn full(_: &[u8]) -> TrySendError<Vec<u8>> {
    TrySendError::Full(Vec::new())
}

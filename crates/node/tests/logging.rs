//! The log never blocks on a reader that has stopped, and reports the lines that
//! it dropped.

#![allow(clippy::unwrap_used)]

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
};

use comfreyway_node::logging::QueueWriter;

/// Output that blocks until it is opened, and records what is written.
#[derive(Clone, Default)]
struct GatedOutput(Arc<Shared>);

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    open: bool,
    written: Vec<u8>,
}

impl GatedOutput {
    fn open(&self) {
        self.0.state.lock().unwrap().open = true;
        self.0.changed.notify_all();
    }

    /// Waits until the output contains a text.
    fn wait_for(&self, text: &str) -> String {
        let mut state = self.0.state.lock().unwrap();
        loop {
            let written = String::from_utf8(state.written.clone()).unwrap();
            if written.contains(text) {
                return written;
            }
            state = self.0.changed.wait(state).unwrap();
        }
    }
}

impl Write for GatedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut state = self.0.state.lock().unwrap();
        while !state.open {
            state = self.0.changed.wait(state).unwrap();
        }
        state.written.extend_from_slice(buf);
        self.0.changed.notify_all();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_loses_lines_and_blocks_nothing() {
    let out = GatedOutput::default();
    let mut log = QueueWriter::start(out.clone()).unwrap();
    for number in 0..20_000 {
        log.write_all(format!("INFO request answered number={number}\n").as_bytes()).unwrap();
    }
    // Refusals and warnings may use queue capacity that other lines may not.
    log.write_all(b"INFO request refused event=CF0502 id=refused\n").unwrap();
    log.write_all(b"x WARN something id=warned\n").unwrap();
    out.open();
    let written = out.wait_for("id=warned");
    assert!(written.contains("id=refused"));
    let dropped = written.lines().filter(|line| line.contains("CF0601"));
    let lines: usize =
        dropped.map(|line| line.rsplit('=').next().unwrap().parse::<usize>().unwrap()).sum();
    let kept = written.lines().filter(|line| line.contains("number=")).count();
    assert_eq!(lines + kept, 20_000);
}

/// The last lines before the process ended were once lost.
#[test]
fn drain_waits_for_the_last_lines() {
    let out = GatedOutput::default();
    out.open();
    let mut log = QueueWriter::start(out.clone()).unwrap();
    let drain = log.drain();
    for number in 0..1_000 {
        log.write_all(format!("INFO line={number}\n").as_bytes()).unwrap();
    }
    drain.wait();
    let written = String::from_utf8(out.0.state.lock().unwrap().written.clone()).unwrap();
    assert!(written.ends_with("line=999\n"));
}

#[test]
fn drain_does_not_wait_for_a_stalled_reader() {
    let out = GatedOutput::default();
    let mut log = QueueWriter::start(out.clone()).unwrap();
    log.write_all(b"INFO never read\n").unwrap();
    log.drain().wait();
    out.open();
}

//! A log that nobody reads never blocks, and tells what it dropped.

#![allow(clippy::unwrap_used)]

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
};

use comfreyway_node::logging::QueueWriter;

/// Output that blocks until it is opened, and keeps what is written.
#[derive(Clone, Default)]
struct Gated(Arc<Shared>);

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

impl Gated {
    fn open(&self) {
        self.0.state.lock().unwrap().open = true;
        self.0.changed.notify_all();
    }

    /// Waits until the output holds a text.
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

impl Write for Gated {
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
fn a_reader_that_stopped_costs_lines_and_blocks_nothing() {
    let out = Gated::default();
    let mut log = QueueWriter::start(out.clone()).unwrap();
    for number in 0..20_000 {
        log.write_all(format!("INFO request answered number={number}\n").as_bytes()).unwrap();
    }
    // Refusals find room where answers found none.
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

/// The last lines of a process once got lost with it.
#[test]
fn the_end_of_the_process_waits_for_the_last_lines() {
    let out = Gated::default();
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
fn the_end_of_the_process_does_not_wait_for_a_reader_that_stopped() {
    let out = Gated::default();
    let mut log = QueueWriter::start(out.clone()).unwrap();
    log.write_all(b"INFO never read\n").unwrap();
    log.drain().wait();
    out.open();
}

//! A runner crashes in the middle of a stream whose length it declared, and the stream goes
//! on at another runner, whose words are longer.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Case, Verdict,
    fleet::{self, HOSTS, Record, Route, configuration, entry, request_head, reset_on_close},
    http::{Request, respond, serve},
    store::Store,
};

const SERVICE: &str = "huvo11a";
const SLOTS: u32 = 5;
/// One of four crashes, a share of 0.25.
const RUNNERS: [&str; 4] = ["i-7f3a91c2", "i-02d9e6b4", "i-c45231e9", "i-fc002de0"];

const EVENTS: usize = 40;
const STEP: Duration = Duration::from_millis(100);
const CLIENTS: usize = 12;
const DEADLINE_MS: u32 = 15_000;
/// When the runner crashes, after the last request was sent.
const CRASH_AFTER: Duration = Duration::from_millis(1_500);

/// Returns the event that a runner makes. Each run chooses its own words.
fn event(runner: usize, number: usize) -> String {
    let word = "word".repeat(1 + runner);
    format!("id: {number}\ndata: {word} {number}\n\n")
}

struct Runner {
    index: usize,
    crashed: AtomicBool,
}

fn start_runner(runner: Arc<Runner>, record: Arc<Record>) -> io::Result<SocketAddr> {
    let name = RUNNERS[runner.index];
    serve(move |req: &Request, stream: &mut TcpStream| {
        if runner.crashed.load(Ordering::SeqCst) {
            reset_on_close(stream);
            return Ok(false);
        }
        let id = req.header("x-comfreyway-request-id").unwrap_or_default().to_owned();
        if req.header("x-comfreyway-expect-runner").is_some_and(|expected| expected != name) {
            let headers = [("x-comfreyway-request-id", id.as_str())];
            return respond(stream, "421 Misdirected Request", &headers, b"");
        }
        let after =
            req.header("last-event-id").and_then(|id| id.parse::<usize>().ok()).unwrap_or(0);
        record.line(&format!("runner {name} runs {id} after event {after}"));
        let length: usize = (after + 1..=EVENTS).map(|n| event(runner.index, n).len()).sum();
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: {length}\r\n\
             x-comfreyway-request-id: {id}\r\nx-comfreyway-weight-versions: 1\r\n\
             x-comfreyway-runner-signature: 3e1b.0{}.5a2.600.0.c9f2a4d1\r\nkeep-alive: timeout=5\r\n\r\n",
            runner.index
        );
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=EVENTS {
            if runner.crashed.load(Ordering::SeqCst) {
                reset_on_close(stream);
                return Ok(false);
            }
            stream.write_all(event(runner.index, number).as_bytes())?;
            thread::sleep(STEP);
        }
        Ok(true)
    })
}

/// A client's answer: status, whether HTTP shows it as complete, and the body.
fn read_stream(host: SocketAddr, client: usize) -> io::Result<(String, String, bool, String)> {
    let id = format!("9c41d07be2a3{client:04x}");
    let mut stream = TcpStream::connect(host)?;
    stream.set_read_timeout(Some(Duration::from_millis(u64::from(DEADLINE_MS))))?;
    let more = "X-Comfreyway-Model: m\r\nX-Comfreyway-Token-Usage: 100,180\r\n\
                X-Comfreyway-Prompt-Prefix: 5c1e07a2:60,91bd3f06:40\r\nContent-Length: 4\r\n\r\nbody";
    stream.write_all(request_head("POST", "/report/2f", &id, DEADLINE_MS, more).as_bytes())?;
    let (mut bytes, mut buf) = (Vec::new(), [0; 4 << 10]);
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let status = head.split(' ').nth(1).unwrap_or("none").to_owned();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length = length.and_then(|length| length.parse::<usize>().ok());
            let is_complete = match length {
                Some(length) => body.len() >= length,
                None => body.ends_with("\r\n0\r\n\r\n"),
            };
            if is_complete {
                return Ok((id, status, true, body.to_owned()));
            }
        }
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => return Ok((id, "cut".to_owned(), false, text)),
            Ok(read) => bytes.extend_from_slice(&buf[..read]),
        }
    }
}

pub fn play(case: &Case) -> io::Result<Verdict> {
    let record = case.record.clone();
    let store = Store::start()?;
    let report = Route {
        name: "report",
        kind: "streaming",
        service: SERVICE,
        timeout_ms: DEADLINE_MS,
        slo_ms: 1_500,
        attempts: 2,
        resumable: true,
    };
    store.put("op/config", &configuration(7, &[report]));
    let mut runners = Vec::new();
    for (index, name) in RUNNERS.iter().enumerate() {
        let runner = Arc::new(Runner { index, crashed: AtomicBool::new(false) });
        let address = start_runner(runner.clone(), record.clone())?;
        let entry = entry(SERVICE, address, "v1", SLOTS, "ready", 1, 1);
        store.put(&format!("servers/{name}"), &entry);
        runners.push(runner);
    }
    let hosts = fleet::start(&case.dir, &HOSTS, &store)?;
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let host = hosts[client % HOSTS.len()].callers;
        clients.push(thread::spawn(move || read_stream(host, client)));
        thread::sleep(Duration::from_millis(20));
    }
    record.line(&format!("{CLIENTS} requests sent"));
    if case.trouble {
        thread::sleep(CRASH_AFTER);
        runners[0].crashed.store(true, Ordering::SeqCst);
        record.line(&format!("{} crashes", RUNNERS[0]));
    }
    let mut broken = 0;
    for client in clients {
        let (id, status, complete, body) =
            client.join().map_err(|_| io::Error::other("a client failed"))??;
        let last = format!(" {EVENTS}\n\n");
        let has_last = body.contains(&last);
        let end: String =
            body.chars().rev().take(24).collect::<Vec<_>>().into_iter().rev().collect();
        record.line(&format!(
            "request {id}: {status}, complete: {complete}, has its last event: {has_last}, ends with {end:?}"
        ));
        broken += usize::from(complete && !has_last);
    }
    record.line(&format!("{broken} answers look complete and end before their last event"));
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

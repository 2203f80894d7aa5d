//! The operator lowers the time-outs of routes while the last runner of a version leaves.

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
/// The last runner of the old version, and those that have the new one.
const OLD: &str = "i-7f3a91c2";
const NEW: [&str; 3] = ["i-02d9e6b4", "i-c45231e9", "i-fc002de0"];

const EVENTS: usize = 100;
const STEP: Duration = Duration::from_millis(100);
const CLIENTS: usize = 16;
const DEADLINE_MS: u32 = 15_000;
/// What is left of it, at least, when a stream is taken up.
const LEFT_MS: u32 = 8_000;
/// Time-out of the route in the new configuration.
const SHORTER_MS: u32 = 2_000;

/// Times after the last request was sent: the new configuration, the end of the old runner's
/// entry, and the end of its process.
const CHANGE_AFTER: Duration = Duration::from_millis(500);
const LEAVE_AFTER: Duration = Duration::from_millis(1_000);
const EXIT_AFTER: Duration = Duration::from_millis(6_500);

/// Rule ORDER allows two such streams.
const MAX_MIXED: usize = 2;

struct Runner {
    name: &'static str,
    version: usize,
    ended: AtomicBool,
}

fn start_runner(runner: Arc<Runner>, record: Arc<Record>) -> io::Result<SocketAddr> {
    serve(move |req: &Request, stream: &mut TcpStream| {
        if runner.ended.load(Ordering::SeqCst) {
            reset_on_close(stream);
            return Ok(false);
        }
        let id = req.header("x-comfreyway-request-id").unwrap_or_default().to_owned();
        let Runner { name, version, .. } = *runner;
        if req.header("x-comfreyway-expect-runner").is_some_and(|expected| expected != name) {
            let headers = [("x-comfreyway-request-id", id.as_str())];
            return respond(stream, "421 Misdirected Request", &headers, b"");
        }
        let after =
            req.header("last-event-id").and_then(|id| id.parse::<usize>().ok()).unwrap_or(0);
        record.line(&format!("runner {name} (v{version}) runs {id} after event {after}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             x-comfreyway-request-id: {id}\r\nx-comfreyway-weight-versions: 1\r\n\
             x-comfreyway-runner-signature: 3e1b.0{version}.5a2.600.0.c9f2a4d1\r\nkeep-alive: timeout=5\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=EVENTS {
            if runner.ended.load(Ordering::SeqCst) {
                reset_on_close(stream);
                return Ok(false);
            }
            let event = format!("id: {number}\ndata: word {number} of v{version}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(STEP);
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    })
}

/// Reads one try's answer. Returns its status, its text, and whether it is complete.
fn try_once(
    host: SocketAddr,
    id: &str,
    deadline_ms: u32,
    more: &str,
) -> io::Result<(String, String, bool)> {
    let mut stream = TcpStream::connect(host)?;
    stream.set_read_timeout(Some(Duration::from_millis(u64::from(deadline_ms))))?;
    let more = format!(
        "{more}X-Comfreyway-Model: m\r\nX-Comfreyway-Token-Usage: 100,300\r\n\
         X-Comfreyway-Prompt-Prefix: 5c1e07a2:60,91bd3f06:40\r\nContent-Length: 4\r\n\r\nbody"
    );
    stream.write_all(request_head("POST", "/report/2f", id, deadline_ms, &more).as_bytes())?;
    let (mut bytes, mut buf) = (Vec::new(), [0; 4 << 10]);
    while !bytes.ends_with(b"\r\n0\r\n\r\n") {
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(read) => bytes.extend_from_slice(&buf[..read]),
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1).unwrap_or("none").to_owned();
    let is_whole = text.ends_with("\r\n0\r\n\r\n");
    Ok((status, text, is_whole))
}

/// Reads a stream. If it breaks off, takes it up again once at the next host.
fn read_stream(hosts: [SocketAddr; 2], client: usize, record: &Record) -> io::Result<String> {
    let first = format!("9c41d07be2a3{client:04x}");
    let (_, mut text, is_whole) = try_once(hosts[0], &first, DEADLINE_MS, "")?;
    let last = text.rmatch_indices("\nid: ").find_map(|(at, _)| {
        let event = &text[at..];
        // Only a whole event counts.
        event.contains("\n\n").then(|| event[5..].split('\n').next().unwrap_or("").to_owned())
    });
    if let Some(last) = last.filter(|_| !is_whole) {
        let second = format!("9c41d07be2a4{client:04x}");
        let more = format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n");
        let (status, rest, is_whole) = try_once(hosts[1], &second, LEFT_MS, &more)?;
        record.line(&format!(
            "{first} broke off after event {last}; taken up as {second}: {status}, complete: {is_whole}"
        ));
        text.push_str(&rest);
    }
    Ok(text)
}

pub fn play(case: &Case) -> io::Result<Verdict> {
    let record = case.record.clone();
    let store = Store::start()?;
    let report = |timeout_ms| Route {
        name: "report",
        kind: "streaming",
        service: SERVICE,
        timeout_ms,
        slo_ms: 1_500,
        attempts: 2,
        resumable: true,
    };
    store.put("op/config", &configuration(7, &[report(DEADLINE_MS)]));
    let old = Arc::new(Runner { name: OLD, version: 1, ended: AtomicBool::new(false) });
    let address = start_runner(old.clone(), record.clone())?;
    store.put(&format!("servers/{OLD}"), &entry(SERVICE, address, "v1", SLOTS, "ready", 1, 1));
    for name in NEW {
        let runner = Arc::new(Runner { name, version: 2, ended: AtomicBool::new(false) });
        let address = start_runner(runner, record.clone())?;
        store.put(&format!("servers/{name}"), &entry(SERVICE, address, "v2", SLOTS, "ready", 1, 1));
    }
    let hosts = fleet::start(&case.dir, &HOSTS, &store)?;
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let callers = |n: usize| hosts[(client + n) % HOSTS.len()].callers;
        let (at, record) = ([callers(0), callers(1)], record.clone());
        clients.push(thread::spawn(move || read_stream(at, client, &record)));
        thread::sleep(Duration::from_millis(20));
    }
    record.line(&format!("{CLIENTS} requests sent"));
    thread::sleep(CHANGE_AFTER);
    if case.trouble {
        store.put("op/config", &configuration(8, &[report(SHORTER_MS)]));
        record.line(&format!("version 8 of the configuration: timeoutMs {SHORTER_MS}"));
    }
    thread::sleep(LEAVE_AFTER - CHANGE_AFTER);
    store.delete(&format!("servers/{OLD}"));
    record.line(&format!("the entry of {OLD} is removed; it goes on serving"));
    thread::sleep(EXIT_AFTER - LEAVE_AFTER);
    old.ended.store(true, Ordering::SeqCst);
    record.line(&format!("the process of {OLD} ends"));
    let mut mixed = 0;
    for (client, thread) in clients.into_iter().enumerate() {
        let text = thread.join().map_err(|_| io::Error::other("a client failed"))??;
        let (v1, v2) = (text.matches("of v1\n").count(), text.matches("of v2\n").count());
        record.line(&format!("client {client}: {v1} events of v1 and {v2} of v2"));
        mixed += usize::from(v1 > 0 && v2 > 0);
    }
    record.line(&format!("{mixed} streams hold events of two versions"));
    Ok(if mixed > MAX_MIXED { Verdict::Broken } else { Verdict::Held })
}

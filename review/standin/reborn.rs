//! A runner is cut off, starts again behind the cut with another software version, and is
//! back before its entry in the store says so.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict,
    fleet::{self, HOSTS, Record, Route, configuration, entry, request_head, reset_on_close},
    http::{Request, respond, serve},
    store::Store,
};

const SERVICE: &str = "huvo11a";
const SLOTS: u32 = 5;

/// The last runners of the old version. They are cut off: 2 of 12, a share of 0.17.
const OLD: [&str; 2] = ["i-7f3a91c2", "i-02d9e6b4"];
/// Runners that have the new version already.
const NEW: [&str; 10] = [
    "i-c45231e9",
    "i-fc002de0",
    "i-91bd3f06",
    "i-1c9f3ab0",
    "i-2d7e6c41",
    "i-3a8b5f92",
    "i-4e6d2073",
    "i-5b1e07a2",
    "i-6f5c8e14",
    "i-8b4a9d35",
];

const EVENTS: usize = 60;
const STEP: Duration = Duration::from_millis(100);
const CLIENTS: usize = 24;
const DEADLINE_MS: u32 = 15_000;

/// When the cut begins, after the last request was sent.
const CUT_AFTER: Duration = Duration::from_millis(1_000);
const CUT: Duration = Duration::from_millis(1_800);
/// Time from the end of the cut until a host's next keep-alive probe, which the machine
/// answers with a reset: the connection is of the process before.
const PROBE: Duration = Duration::from_millis(200);
/// Time from the end of the cut to the runner's next heartbeat. One is due every 1,200 ms.
const HEARTBEAT: Duration = Duration::from_millis(1_100);

/// Rule ORDER allows two such streams.
const MAX_MIXED: usize = 2;

#[derive(Default)]
struct Runner {
    name: &'static str,
    /// Software version: 1 or 2.
    version: AtomicUsize,
    /// True while no packet passes.
    cut: AtomicBool,
    /// Number of starts. A connection of an earlier one is reset.
    starts: AtomicUsize,
}

fn start_runner(runner: Arc<Runner>, record: Arc<Record>) -> io::Result<SocketAddr> {
    serve(move |req: &Request, stream: &mut TcpStream| {
        let id = req.header("x-comfreyway-request-id").unwrap_or_default().to_owned();
        if req.header("x-comfreyway-expect-runner").is_some_and(|name| name != runner.name) {
            let headers = [("x-comfreyway-request-id", id.as_str())];
            return respond(stream, "421 Misdirected Request", &headers, b"");
        }
        let start = runner.starts.load(Ordering::SeqCst);
        let version = runner.version.load(Ordering::SeqCst);
        let after =
            req.header("last-event-id").and_then(|id| id.parse::<usize>().ok()).unwrap_or(0);
        record.line(&format!("runner {} (v{version}) runs {id} after event {after}", runner.name));
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             x-comfreyway-request-id: {id}\r\nx-comfreyway-weight-versions: 1\r\n\
             x-comfreyway-runner-signature: 3e1b.0{version}.5a2.600.0.c9f2a4d1\r\nkeep-alive: timeout=5\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=EVENTS {
            while runner.cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
            if runner.starts.load(Ordering::SeqCst) != start {
                // The process that wrote this stream has ended.
                thread::sleep(PROBE);
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

fn read_stream(host: SocketAddr, client: usize) -> io::Result<(String, String)> {
    let id = format!("9c41d07be2a3{client:04x}");
    let mut stream = TcpStream::connect(host)?;
    stream.set_read_timeout(Some(Duration::from_millis(u64::from(DEADLINE_MS))))?;
    let more = "X-Comfreyway-Model: m\r\nX-Comfreyway-Token-Usage: 100,180\r\n\
                X-Comfreyway-Prompt-Prefix: 5c1e07a2:60,91bd3f06:40\r\nContent-Length: 4\r\n\r\nbody";
    stream.write_all(request_head("POST", "/report/2f", &id, DEADLINE_MS, more).as_bytes())?;
    let (mut bytes, mut buf) = (Vec::new(), [0; 4 << 10]);
    while !bytes.ends_with(b"\r\n0\r\n\r\n") {
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(read) => bytes.extend_from_slice(&buf[..read]),
        }
    }
    Ok((id, String::from_utf8_lossy(&bytes).into_owned()))
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
    let mut old = Vec::new();
    for name in OLD {
        let runner = Arc::new(Runner { name, version: 1.into(), ..Runner::default() });
        old.push((start_runner(runner.clone(), record.clone())?, runner));
    }
    let put_old = |version: &str, born| {
        for (address, runner) in &old {
            let entry = entry(SERVICE, *address, version, SLOTS, "ready", born, 1);
            store.put(&format!("servers/{}", runner.name), &entry);
        }
    };
    put_old("v1", 1);
    for name in NEW {
        let runner = Arc::new(Runner { name, version: 2.into(), ..Runner::default() });
        let address = start_runner(runner, record.clone())?;
        let entry = entry(SERVICE, address, "v2", SLOTS, "ready", 1, 1);
        store.put(&format!("servers/{name}"), &entry);
    }
    let hosts = fleet::start(&case.dir, &HOSTS, &store)?;

    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let host = hosts[client % HOSTS.len()].callers;
        clients.push(thread::spawn(move || read_stream(host, client)));
        thread::sleep(Duration::from_millis(20));
    }
    let sent_at = Instant::now();
    record.line(&format!("{CLIENTS} requests sent"));
    if case.trouble {
        thread::sleep(CUT_AFTER);
        old.iter().for_each(|(_, runner)| runner.cut.store(true, Ordering::SeqCst));
        record.line(&format!("{OLD:?} are cut off, and start again behind the cut as v2"));
        thread::sleep(CUT);
        for (_, runner) in &old {
            runner.version.store(2, Ordering::SeqCst);
            runner.starts.fetch_add(1, Ordering::SeqCst);
            runner.cut.store(false, Ordering::SeqCst);
        }
        record.line("the cut has healed");
        thread::sleep(HEARTBEAT);
        put_old("v2", 2);
        record.line(&format!("{OLD:?} have written their entries: v2, a later start"));
    }
    let (mut mixed, mut whole) = (0, 0);
    for client in clients {
        let (id, text) = client.join().map_err(|_| io::Error::other("a client failed"))??;
        let (v1, v2) = (text.matches("of v1\n").count(), text.matches("of v2\n").count());
        let is_whole = text.ends_with("\r\n0\r\n\r\n") && v1 + v2 == EVENTS;
        let status = text.split(' ').nth(1).unwrap_or("none");
        record.line(&format!(
            "request {id}: {status}, {v1} events of v1 and {v2} of v2, complete: {is_whole}"
        ));
        mixed += usize::from(v1 > 0 && v2 > 0);
        whole += usize::from(is_whole);
    }
    record.line(&format!(
        "{mixed} streams hold events of two versions; {whole} of {CLIENTS} are complete; {:.1} s",
        sent_at.elapsed().as_secs_f64()
    ));
    Ok(if mixed > MAX_MIXED { Verdict::Broken } else { Verdict::Held })
}

//! Streams with a declared length whose runner crashes, and which are resumed at another one.

mod kit;

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::exit,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use kit::{arguments, call, response, unix_ms, Daemon, Record, Request, Server, Store};

const HOSTS: usize = 2;
const RUNNERS: usize = 12;
/// Runners that crash: a sixth of them.
const CRASHED: usize = 2;
const STREAMS: usize = 36;
const EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(50);

/// Words that runners generate.
const WORDS: [&str; 8] =
    ["pay", "the manager", "overtime", "no", "a better offer", "moved away", "the hours", "health"];

/// A runner that declares the length of its responses. No two runs give the same text.
struct Generator {
    id: String,
    seed: u64,
    record: Record,
    /// True from its crash on.
    crashed: Arc<AtomicBool>,
}

impl Generator {
    fn event(&self, id: &str, number: u64) -> String {
        let mut hash = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number;
        for byte in id.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        let word = WORDS[(hash >> 40) as usize % WORDS.len()];
        format!("id: {number}\ndata: {word}\n\n")
    }

    fn respond(&self, req: &Request, out: &mut TcpStream) -> io::Result<bool> {
        let id = req.header("x-comfreyway-request-id");
        if req.path() == "/health" {
            out.write_all(&response(200, &[("X-Comfreyway-Runner-Id", &self.id)], b""))?;
            return Ok(true);
        }
        let expected = req.header("x-comfreyway-expect-runner");
        if !expected.is_empty() && expected != self.id {
            let headers = [("X-Comfreyway-Request-Id", id), ("X-Comfreyway-Not-Executed", "1")];
            out.write_all(&response(421, &headers, b""))?;
            return Ok(true);
        }
        let after: u64 = req.header("last-event-id").parse().unwrap_or(0);
        let events: Vec<String> = (after + 1..=EVENTS).map(|n| self.event(id, n)).collect();
        let length: usize = events.iter().map(String::len).sum();
        self.record.line(&format!("{}: runs {id} after event {after}, {length} bytes", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Comfreyway-Request-Id: {id}\r\n\
             X-Comfreyway-Runner-Signature: {}\r\nContent-Length: {length}\r\n\r\n",
            self.id
        );
        out.write_all(head.as_bytes())?;
        for (number, event) in (after + 1..).zip(&events) {
            if self.crashed.load(Ordering::Acquire) {
                self.record.line(&format!("{}: {id} broken off after {}", self.id, number - 1));
                return Ok(false);
            }
            out.write_all(event.as_bytes())?;
            thread::sleep(EVENT_PAUSE);
        }
        Ok(true)
    }
}

struct Running {
    address: SocketAddr,
    server: Server,
    crashed: Arc<AtomicBool>,
}

fn start(store: &Store, number: usize, record: &Record) -> Running {
    let listener = TcpListener::bind("127.0.0.1:0").expect("runner port");
    let address = listener.local_addr().unwrap();
    let (id, crashed) = (format!("i-{number}"), Arc::<AtomicBool>::default());
    let entry = format!(
        "{{\"service\":\"dala\",\"address\":\"{address}\",\"zone\":\"alatau\",\"version\":\"v1\",\
         \"slots\":5,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":{}}}",
        unix_ms()
    );
    store.put(&format!("servers/{id}"), &entry);
    let (seed, record) = (number as u64 + 1, record.clone());
    let generator = Generator { id, seed, record, crashed: crashed.clone() };
    let server = Server::start(listener, move |req, out| generator.respond(&req, out));
    Running { address, server, crashed }
}

fn main() {
    exit(run());
}

fn run() -> i32 {
    let (root, case, temp, trouble) = arguments();
    let record = Record::create(&case.join("record.txt"));
    let store = Store::start(&record);
    store.put("op/config", r#"{"version":1,"routes":[{"name":"report","host":"desk.example","prefix":"/report/","kind":"streaming","timeoutMs":12000,"sloMs":800,"priority":0,"service":"dala","attempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":250}],"services":[{"name":"dala","healthCheck":"/health","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":5,"kvCapacity":546689,"stride":3}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"desk","apiKeys":["key-of-desk"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":0,"burst":0}]}"#);
    let runners: Vec<Running> = (0..RUNNERS).map(|n| start(&store, n, &record)).collect();
    let hosts: Vec<Daemon> = (0..HOSTS)
        .map(|n| Daemon::start(&root, &temp, &format!("edge-{n}"), store.address))
        .collect();
    if !hosts.iter().all(|host| host.wait_ready(Duration::from_secs(10))) {
        record.say("the hosts did not become ready");
        return 2;
    }
    let ask = |front: SocketAddr, id: &str| {
        let headers = [
            ("X-Comfreyway-Request-Id", id),
            ("X-Comfreyway-Model", "m"),
            ("X-Comfreyway-Token-Usage", "300,120"),
            ("X-Comfreyway-Request-Deadline-Ms", "12000"),
            ("X-Api-Key", "key-of-desk"),
        ];
        call(front, "POST", "/report/1", &headers, id, Duration::from_secs(13))
    };
    // The budget for retries begins to fill with the first request.
    for host in &hosts {
        let status = ask(host.front, &format!("warm-up-{}", host.name)).status;
        if status != 200 {
            record.say(&format!("{}: a first request is answered {status}", host.name));
            return 2;
        }
    }
    thread::sleep(Duration::from_secs(6));
    let mut callers = Vec::new();
    for n in 0..STREAMS {
        let (front, record) = (hosts[n % HOSTS].front, record.clone());
        callers.push(thread::spawn(move || {
            let id = format!("stream-{n}");
            let answer = ask(front, &id);
            let ids = answer.body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
            let last: u64 = ids.last().unwrap_or(0);
            let is_whole = last == EVENTS && answer.body.ends_with("\n\n");
            record.line(&format!(
                "{id}: status {}, Content-Length {}, {} bytes, up to event {last} of {EVENTS}; the last bytes: {:?}",
                answer.status,
                answer.header("content-length"),
                answer.body.len(),
                answer.body.get(answer.body.len().saturating_sub(24)..).unwrap_or_default()
            ));
            (answer.status, is_whole)
        }));
    }
    thread::sleep(Duration::from_millis(900));
    if trouble {
        for runner in &runners[..CRASHED] {
            runner.crashed.store(true, Ordering::Release);
            runner.server.end(runner.address);
        }
        record.say(&format!("{CRASHED} of {RUNNERS} runners crash"));
    }
    let ends: Vec<(u16, bool)> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    drop(hosts);
    let complete = ends.iter().filter(|(status, _)| *status == 200).count();
    let short = ends.iter().filter(|(status, is_whole)| *status == 200 && !is_whole).count();
    record.say(&format!("{complete} responses look complete, {short} of them lack events"));
    if !trouble && complete < STREAMS {
        return 2;
    }
    i32::from(short > 0)
}

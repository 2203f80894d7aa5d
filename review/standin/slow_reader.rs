//! A machine is stopped as planned while clients read their answers slowly.

use std::{
    collections::BTreeMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict,
    fleet::{self, HOSTS, Route, SIGTERM, configuration, connect_small, entry, request_head},
    http::{Request, respond, serve},
    store::Store,
};

const RUNNER: &str = "i-7f3a91c2";
const SLOTS: u32 = 6;
const SERVICE: &str = "wuno96b";

const CLIENTS: usize = 3;
/// Size of each answer.
const BODY_BYTES: usize = 3 << 20;
/// Time that the runner works on each request.
const WORK: Duration = Duration::from_millis(60);

/// A client reads this much every 20 ms, 600 KB a second, so its answer within 5.3 seconds.
const READ_BYTES: usize = 12_000;
const READ_STEP: Duration = Duration::from_millis(20);
const RECEIVE_BUFFER: i32 = 64 << 10;

/// Time from SIGTERM to the requests: the platform takes a machine out after two misses, and
/// asks once a second.
const SENT_AFTER: Duration = Duration::from_millis(500);

const DEADLINE_MS: u32 = 15_000;
const GRACE: Duration = Duration::from_secs(8);

/// When the runner was done with the answers, by request.
type Done = Arc<Mutex<BTreeMap<String, Instant>>>;

fn start_runner(done: Done) -> io::Result<SocketAddr> {
    serve(move |req: &Request, stream: &mut TcpStream| {
        let id = req.header("x-comfreyway-request-id").unwrap_or_default().to_owned();
        if req.header("x-comfreyway-expect-runner").is_some_and(|expected| expected != RUNNER) {
            let headers = [("x-comfreyway-request-id", id.as_str())];
            return respond(stream, "421 Misdirected Request", &headers, b"");
        }
        thread::sleep(WORK);
        let headers = [
            ("x-comfreyway-request-id", id.as_str()),
            ("x-comfreyway-runner-signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("keep-alive", "timeout=5"),
        ];
        respond(stream, "200 OK", &headers, &vec![b'a'; BODY_BYTES])?;
        done.lock().unwrap().insert(id, Instant::now());
        Ok(true)
    })
}

/// How a client's answer ended.
struct Answer {
    id: String,
    head: String,
    end: String,
    body_bytes: usize,
    sent_at: Instant,
    ended_at: Instant,
}

fn read_slowly(host: SocketAddr, client: usize) -> io::Result<Answer> {
    let sent_at = Instant::now();
    let id = format!("9c41d07be2a3{client:04x}");
    let mut stream = connect_small(host, RECEIVE_BUFFER)?;
    stream.write_all(request_head("GET", "/lookup/2f", &id, DEADLINE_MS, "\r\n").as_bytes())?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let (mut bytes, mut buf) = (Vec::new(), vec![0; READ_BYTES]);
    let mut head_len = None;
    let end = loop {
        match stream.read(&mut buf) {
            Ok(0) => break "the connection was closed".to_owned(),
            Ok(read) => bytes.extend_from_slice(&buf[..read]),
            Err(e) => break format!("error: {e}"),
        }
        let position = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        head_len = head_len.or(position.map(|at| at + 4));
        if head_len.is_some_and(|head| bytes.len() >= head + BODY_BYTES) {
            break "whole".to_owned();
        }
        thread::sleep(READ_STEP);
    };
    let head_len = head_len.unwrap_or(bytes.len());
    let head = String::from_utf8_lossy(&bytes[..head_len]).into_owned();
    let (body_bytes, ended_at) = (bytes.len() - head_len, Instant::now());
    Ok(Answer { id, head, end, body_bytes, sent_at, ended_at })
}

pub fn play(case: &Case) -> io::Result<Verdict> {
    let record = &case.record;
    let store = Store::start()?;
    let lookup = Route {
        name: "lookup",
        kind: "safe",
        service: SERVICE,
        timeout_ms: DEADLINE_MS,
        slo_ms: 1_500,
        attempts: 2,
        resumable: false,
    };
    store.put("op/config", &configuration(7, &[lookup]));
    let done = Done::default();
    let address = start_runner(done.clone())?;
    store.put(&format!("servers/{RUNNER}"), &entry(SERVICE, address, "v1", SLOTS, "ready", 1, 1));
    let mut hosts = fleet::start(&case.dir, &HOSTS, &store)?;

    let stopped_at = Instant::now();
    if case.trouble {
        hosts[0].signal(SIGTERM);
        record.line(&format!("SIGTERM to {}", hosts[0].name));
    }
    thread::sleep(SENT_AFTER);
    let callers = hosts[0].callers;
    let clients: Vec<_> =
        (0..CLIENTS).map(|client| thread::spawn(move || read_slowly(callers, client))).collect();
    record.line(&format!("{CLIENTS} requests sent to {}", hosts[0].name));
    while case.trouble && !hosts[0].has_exited() && stopped_at.elapsed() < GRACE {
        thread::sleep(Duration::from_millis(5));
    }
    if case.trouble {
        let after = stopped_at.elapsed().as_secs_f64();
        record.line(&format!("the process of {} ended {after:.3} s after SIGTERM", hosts[0].name));
    }
    let mut cut = 0;
    for client in clients {
        let answer = client.join().map_err(|_| io::Error::other("a client failed"))??;
        if !answer.head.starts_with("HTTP/1.1 200") {
            return Err(io::Error::other(format!("a request was refused: {}", answer.head)));
        }
        let done = done.lock().unwrap().get(&answer.id).copied();
        let since = |at: Instant| at.duration_since(answer.sent_at).as_secs_f64();
        record.line(&format!(
            "request {}: 200, {}, {} of {BODY_BYTES} bytes of the body, ended {:.3} s after it \
             was sent; the runner was done after {:.3} s",
            answer.id,
            answer.end,
            answer.body_bytes,
            since(answer.ended_at),
            done.map_or(f64::NAN, since)
        ));
        // Excuses of the rule: the deadline, the end of the time of planned work, and a
        // runner at work in the last sixth of the grace time.
        let deadline = answer.sent_at + Duration::from_millis(u64::from(DEADLINE_MS));
        let planned = answer.ended_at < stopped_at + GRACE + Duration::from_secs(1)
            && done.is_some_and(|done| done < stopped_at + GRACE * 5 / 6);
        let counts = answer.ended_at < deadline && planned;
        cut += usize::from(answer.body_bytes < BODY_BYTES && counts);
    }
    record.line(&format!("{cut} of {CLIENTS} answers were cut that the rule does not excuse"));
    Ok(if cut > 0 { Verdict::Broken } else { Verdict::Held })
}

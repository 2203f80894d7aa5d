//! A drill of the store, after a key was taken away. Then the host that schedules is killed
//! and starts again, or the operator writes again what it wrote.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict,
    fleet::{
        self, HOSTS, Host, KEY, Record, Route, configuration, entry, request_head_with_key, revoked,
    },
    http::{Request, respond, serve},
    store::Store,
};

const SERVICE: &str = "wuno96b";
const RUNNER: &str = "i-7f3a91c2";
const SLOTS: u32 = 6;
const DEADLINE_MS: u32 = 3_000;

/// Bound `revokeMs`.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Time from the revocation to the drill.
const DRILL_AFTER: Duration = Duration::from_millis(5_500);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(300);
/// Times after the store's return: a process is killed, it starts again, and the operator
/// has written its configuration again.
const KILL_AFTER: Duration = Duration::from_millis(1_000);
const RESTART_AFTER: Duration = Duration::from_millis(300);
const REWRITE_AFTER: Duration = Duration::from_millis(2_500);
/// Time between two versions of the configuration, whenever they are written.
const VERSION_STEP: Duration = Duration::from_millis(1_000);
const END_AFTER: Duration = Duration::from_millis(1_500);
const ASK_STEP: Duration = Duration::from_millis(100);

/// What happens besides the drill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Story {
    /// The host that schedules is killed. The operator writes its newest version again.
    Killed,
    /// The operator writes the two versions that were lost again, in their order.
    Rewritten,
}

fn start_runner(runs: Arc<Mutex<Vec<String>>>, record: Arc<Record>) -> io::Result<SocketAddr> {
    serve(move |req: &Request, stream: &mut TcpStream| {
        let id = req.header("x-comfreyway-request-id").unwrap_or_default().to_owned();
        if req.header("x-comfreyway-expect-runner").is_some_and(|name| name != RUNNER) {
            let headers = [("x-comfreyway-request-id", id.as_str())];
            return respond(stream, "421 Misdirected Request", &headers, b"");
        }
        let tenant = req.header("x-comfreyway-tenant").unwrap_or("none");
        record.line(&format!("the runner runs {id} for tenant {tenant}"));
        runs.lock().unwrap().push(id.clone());
        let headers = [
            ("x-comfreyway-request-id", id.as_str()),
            ("x-comfreyway-runner-signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ];
        respond(stream, "200 OK", &headers, b"answer")
    })
}

/// Sends a request and returns the status of its answer.
fn ask(host: SocketAddr, id: &str, key: &str) -> String {
    let exchange = || -> io::Result<String> {
        let mut stream = TcpStream::connect(host)?;
        stream.set_read_timeout(Some(Duration::from_millis(u64::from(DEADLINE_MS))))?;
        let more = "Connection: close\r\n\r\n";
        let head = request_head_with_key("GET", "/lookup/2f", id, DEADLINE_MS, key, more);
        stream.write_all(head.as_bytes())?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text.split(' ').nth(1).unwrap_or("none").to_owned())
    };
    exchange().unwrap_or_else(|_| "no connection".to_owned())
}

/// Sends requests with the revoked key to all hosts, one after the other.
struct Asker<'a> {
    record: &'a Record,
    revoked_at: Instant,
    sent: Vec<(String, Instant)>,
}

impl Asker<'_> {
    fn ask_all(&mut self, hosts: &[Host]) {
        for host in hosts {
            let id = format!("9c41d07be2a3{:04x}", self.sent.len());
            let sent_at = Instant::now();
            self.sent.push((id.clone(), sent_at));
            let status = ask(host.callers, &id, revoked::KEY);
            let after = sent_at.duration_since(self.revoked_at).as_secs_f64();
            self.record.line(&format!(
                "request {id} with the revoked key, sent to {} {after:.3} s after the revocation: {status}",
                host.name
            ));
        }
    }

    fn ask_until(&mut self, until: Instant, hosts: &[Host]) {
        while Instant::now() < until {
            self.ask_all(hosts);
            thread::sleep(ASK_STEP);
        }
    }
}

pub fn play(case: &Case, story: Story) -> io::Result<Verdict> {
    let record = case.record.clone();
    let store = Store::start()?;
    let routes = [Route {
        name: "lookup",
        kind: "safe",
        service: SERVICE,
        timeout_ms: 1_500,
        slo_ms: 300,
        attempts: 2,
        resumable: false,
    }];
    store.put("op/config", &revoked::configuration_with_key(&configuration(7, &routes)));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let address = start_runner(runs.clone(), record.clone())?;
    store.put(&format!("servers/{RUNNER}"), &entry(SERVICE, address, "v1", SLOTS, "ready", 1, 1));
    // The host that has run longest schedules.
    let mut hosts = vec![Host::start(&case.dir, HOSTS[0], &store)?];
    thread::sleep(Duration::from_millis(200));
    for name in &HOSTS[1..] {
        hosts.push(Host::start(&case.dir, name, &store)?);
    }
    fleet::wait_ready(&hosts)?;
    for host in &hosts {
        for key in [KEY, revoked::KEY] {
            let status = ask(host.callers, "before", key);
            if status != "200" {
                return Err(io::Error::other(format!("{} answers {status}", host.name)));
            }
        }
    }
    let copy = store.copy();
    thread::sleep(Duration::from_millis(500));
    // Another change, which leaves the key.
    let put_8 = || {
        let text = configuration(8, &routes);
        store.put("op/config", &revoked::configuration_with_key(&text));
        record.line("the operator writes version 8, which is acknowledged");
    };
    let put_9 = || {
        store.put("op/config", &configuration(9, &routes));
        record.line("the operator writes version 9, which is acknowledged: it has a key no more");
    };
    if story == Story::Rewritten {
        put_8();
        thread::sleep(VERSION_STEP);
    }
    put_9();
    let revoked_at = Instant::now();
    thread::sleep(DRILL_AFTER);
    let mut asker = Asker { record: &record, revoked_at, sent: Vec::new() };
    asker.ask_all(&hosts);

    if case.trouble {
        store.go_away();
        record.line("drill: the store is away");
        thread::sleep(AWAY);
        store.come_back(copy);
        record.line("drill: the store is back, from a copy that has version 7");
    }
    let back_at = Instant::now();
    asker.ask_until(back_at + KILL_AFTER, &hosts);
    if case.trouble && story == Story::Killed {
        hosts[0].kill();
        record.line(&format!("the process of {} is killed", hosts[0].name));
        thread::sleep(RESTART_AFTER);
        hosts[0].restart()?;
        record.line(&format!("the process of {} starts again", hosts[0].name));
    }
    asker.ask_until(back_at + REWRITE_AFTER, &hosts);
    if case.trouble {
        if story == Story::Rewritten {
            put_8();
            asker.ask_until(Instant::now() + VERSION_STEP, &hosts);
        }
        put_9();
    }
    asker.ask_until(Instant::now() + END_AFTER, &hosts);

    let runs = runs.lock().unwrap();
    let late = asker.sent.iter().filter(|(_, sent_at)| *sent_at > revoked_at + REVOKE);
    let ran = late.filter(|(id, _)| runs.contains(id)).count();
    record.line(&format!(
        "{ran} requests ran that were sent later than revokeMs after the revocation"
    ));
    Ok(if ran > 0 { Verdict::Broken } else { Verdict::Held })
}

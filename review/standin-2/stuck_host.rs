//! A host that was cut off from the store and later frozen for a moment.
//!
//! The host that has run longest coordinates. It is cut off from the store, so another one
//! takes over; once it is back it is a client of that one. Then it is frozen for 2.5 s under
//! its usual load. This is done up to six times, until the host answers no more.

mod kit;

use std::{
    process::exit,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use kit::{arguments, call, unix_ms, Daemon, Link, Record, Runner, RunnerPlan, Runs, Store};

const HOSTS: usize = 8;
const RUNNERS: usize = 12;
const SLOTS: usize = 5;
const TIMEOUT_MS: &str = "6000";
/// The same, after which a client is gone.
const DEADLINE: Duration = Duration::from_millis(6_000);

const CYCLES: usize = 6;
const CUT: Duration = Duration::from_millis(5_500);
/// Time from the end of the cut to the freeze.
const BACK: Duration = Duration::from_millis(3_500);
const FREEZE: Duration = Duration::from_millis(2_500);
/// Time from the freeze to a first look.
const LOOK: Duration = Duration::from_millis(1_000);
/// More than `contactMs`, which is 3 s.
const IN_TOUCH: Duration = Duration::from_millis(3_500);

/// Clients of the large tenant at each host.
const CLIENTS_PER_HOST: usize = 24;
const PAUSE: Duration = Duration::from_millis(500);
/// Requests of the small tenant in the end, whose client the platform sends to edge-0.
const SMALL_REQUESTS: usize = 20;

fn ask(host: &Daemon, id: &str, key: &str, deadline_ms: &str) -> u16 {
    ask_at(host.front, id, key, deadline_ms).0
}

fn ask_at(front: std::net::SocketAddr, id: &str, key: &str, deadline_ms: &str) -> (u16, String) {
    let headers = [
        ("X-Comfreyway-Request-Id", id),
        ("X-Comfreyway-Model", "m"),
        ("X-Comfreyway-Token-Usage", "1110,120"),
        ("X-Comfreyway-Request-Deadline-Ms", deadline_ms),
        ("X-Api-Key", key),
    ];
    let answer = call(front, "POST", "/report/1", &headers, id, Duration::from_millis(6_100));
    (answer.status, if answer.status == 200 { String::new() } else { answer.body })
}

fn main() {
    exit(run());
}

fn run() -> i32 {
    let (root, case, temp, trouble) = arguments();
    let record = Record::create(&case.join("record.txt"));
    let store = Store::start(&record);
    let config = format!(
        r#"{{"version":1,"routes":[{{"name":"report","host":"desk.example","prefix":"/report/","kind":"streaming","timeoutMs":{TIMEOUT_MS},"sloMs":800,"priority":0,"service":"dala","attempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":250}}],"services":[{{"name":"dala","healthCheck":"/health","maxConns":370,"protocol":"h1","tls":false,"engine":{{"slots":{SLOTS},"kvCapacity":546689,"stride":3}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"large","apiKeys":["key-of-large"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":0,"burst":0}},{{"name":"small","apiKeys":["key-of-small"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":0,"burst":0}}]}}"#
    );
    store.put("op/config", &config);
    let runs = Runs::default();
    let _runners: Vec<Runner> = (0..RUNNERS)
        .map(|n| {
            let work = Duration::from_millis(30);
            let plan = RunnerPlan { id: format!("i-{n}"), slots: SLOTS, work, weights: 1 };
            let runner = Runner::start(&plan, &runs, &record);
            let entry = runner.entry("dala", SLOTS, "ready", unix_ms());
            store.put(&format!("servers/{}", runner.id), &entry);
            runner
        })
        .collect();
    let links: Vec<Link> = (0..HOSTS).map(|_| Link::start(store.address)).collect();
    let mut hosts: Vec<Daemon> = Vec::new();
    for (n, link) in links.iter().enumerate() {
        hosts.push(Daemon::start(&root, &temp, &format!("edge-{n}"), link.address));
        // All machines start within 0.3 s; edge-0 is the first one.
        thread::sleep(Duration::from_millis(35));
    }
    if !hosts.iter().all(|host| host.wait_ready(Duration::from_secs(10))) {
        record.say("the hosts did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));

    let stop = Arc::<AtomicBool>::default();
    let counts: Arc<[AtomicUsize; 2]> = Arc::default();
    let is_counted = Arc::<AtomicBool>::default();
    let mut clients = Vec::new();
    for host in &hosts {
        for n in 0..CLIENTS_PER_HOST {
            let (name, front, record) = (host.name.clone(), host.front, record.clone());
            let (stop, counts, is_counted) = (stop.clone(), counts.clone(), is_counted.clone());
            clients.push(thread::spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let counted = is_counted.load(Ordering::Relaxed);
                    let id = format!("large-{name}-{n}-{number}");
                    let (status, body) = ask_at(front, &id, "key-of-large", TIMEOUT_MS);
                    record.line(&format!("{name}: {id} answered {status} {body}"));
                    if counted {
                        counts[0].fetch_add(1, Ordering::Relaxed);
                        counts[1].fetch_add(usize::from(status == 200), Ordering::Relaxed);
                    }
                    thread::sleep(PAUSE);
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(2));
    let mut cycles = 0;
    while trouble && cycles < CYCLES {
        cycles += 1;
        record.say(&format!("edge-0 is cut off from the store for 5.5 s ({cycles})"));
        links[0].cut();
        thread::sleep(CUT);
        links[0].heal();
        thread::sleep(BACK);
        record.say("edge-0 is frozen for 2.5 s");
        hosts[0].signal("-STOP");
        thread::sleep(FREEZE);
        hosts[0].signal("-CONT");
        thread::sleep(LOOK);
        let status = ask(&hosts[0], &format!("first-look-{cycles}"), "key-of-small", "1500");
        record.say(&format!("a request to edge-0 a second later is answered {status}"));
        if status == 200 {
            continue;
        }
        thread::sleep(IN_TOUCH);
        let status = ask(&hosts[0], &format!("second-look-{cycles}"), "key-of-small", "1500");
        record.say(&format!("a request to edge-0 when it is in touch is answered {status}"));
        if status != 200 {
            break;
        }
    }
    if !trouble || cycles == CYCLES {
        thread::sleep(IN_TOUCH);
    }
    let ready_before = hosts[0].is_ready();
    record.say(&format!("no disruption from here on; edge-0 is ready: {ready_before}"));
    is_counted.store(true, Ordering::Relaxed);
    let begun = Instant::now();
    let small: Vec<_> = (0..SMALL_REQUESTS)
        .map(|n| {
            let (front, record) = (hosts[0].front, record.clone());
            thread::sleep(Duration::from_millis(200));
            thread::spawn(move || {
                let (id, sent) = (format!("small-{n}"), Instant::now());
                let (status, body) = ask_at(front, &id, "key-of-small", TIMEOUT_MS);
                let time = sent.elapsed();
                let ms = time.as_millis();
                record.line(&format!("edge-0: {id} answered {status} after {ms} ms {body}"));
                (status == 200, status != 0 && time <= DEADLINE)
            })
        })
        .collect();
    let small: Vec<(bool, bool)> = small.into_iter().map(|asked| asked.join().unwrap()).collect();
    let served_small = small.iter().filter(|(served, _)| *served).count();
    let in_time = small.iter().filter(|(_, in_time)| *in_time).count();
    let ready_after = hosts[0].is_ready();
    is_counted.store(false, Ordering::Relaxed);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let is_running = hosts[0].is_running();
    drop(hosts);
    let asked = counts[0].load(Ordering::Relaxed) + SMALL_REQUESTS;
    let served = counts[1].load(Ordering::Relaxed) + served_small;
    let (all, small) = (served as f64 / asked as f64, served_small as f64 / SMALL_REQUESTS as f64);
    record.say(&format!(
        "edge-0 runs: {is_running}, is ready: {ready_before} and {:.0} s later {ready_after}",
        begun.elapsed().as_secs_f64()
    ));
    record.say(&format!(
        "answered at all before the client's deadline of 6 s at edge-0: {in_time} of {SMALL_REQUESTS}"
    ));
    record.say(&format!(
        "served: {served} of {asked} requests of all tenants ({all:.2}), {served_small} of {SMALL_REQUESTS} of the tenant whose client is at edge-0 ({small:.2})"
    ));
    if served == 0 {
        return 2;
    }
    i32::from(small < all / 4.0)
}

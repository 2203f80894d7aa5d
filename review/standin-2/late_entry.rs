//! Hosts whose entries in the store were overwritten by their own late writes.
//!
//! The reply to the first write of each host's entry is lost, and the write is done two
//! seconds later. Then one host is frozen for a moment, and callers of one tenant send all
//! hosts more than its quota allows.

mod kit;

use std::{
    collections::{HashMap, HashSet},
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use kit::{arguments, call, unix_ms, Daemon, Fate, Record, Runner, RunnerPlan, Runs, Store};

const HOSTS: usize = 8;
const RUNNERS: usize = 12;
const SLOTS: usize = 5;

const RATE_PER_S: f64 = 108_133.0;
const BURST: f64 = 108_133.0;
const WINDOW_S: f64 = 8.0;
/// Units that the rule allows in a window: `quotaOverage` 0.1, `quotaSlack` 190,000.
const ALLOWED: f64 = (RATE_PER_S * WINDOW_S + BURST) * 1.1 + 190_000.0;

/// Time after which a write without a reply is done; the pages name 1 to 6 s.
const LATE: Duration = Duration::from_secs(2);
const FREEZE: Duration = Duration::from_millis(1_500);

const TOKENS: &str = "3960,40";
const LOAD: Duration = Duration::from_secs(14);
const SENDERS_PER_HOST: usize = 3;
/// Time between two requests of one sender.
const PAUSE: Duration = Duration::from_millis(150);

fn main() {
    exit(run());
}

fn run() -> i32 {
    let (root, case, temp, trouble) = arguments();
    let record = Record::create(&case.join("record.txt"));
    let store = Store::start(&record);
    let config = format!(
        r#"{{"version":1,"routes":[{{"name":"report","host":"desk.example","prefix":"/report/","kind":"streaming","timeoutMs":12000,"sloMs":800,"priority":0,"service":"dala","attempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":250}}],"services":[{{"name":"dala","healthCheck":"/health","maxConns":370,"protocol":"h1","tls":false,"engine":{{"slots":{SLOTS},"kvCapacity":546689,"stride":3}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"desk","apiKeys":["key-of-desk"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":{RATE_PER_S},"burst":{BURST}}}]}}"#
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
    if trouble {
        // Of the four writes with which a host registers, leases included, one gets no reply.
        let lost: Mutex<HashSet<String>> = Mutex::default();
        store.set_decide(move |key| {
            let is_entry = key.starts_with("comfreyway/hosts/");
            match is_entry && lost.lock().unwrap().insert(key.to_owned()) {
                true => Fate::LostAndLate(LATE),
                false => Fate::Answered,
            }
        });
    }
    let mut hosts: Vec<Daemon> = (0..HOSTS)
        .map(|n| Daemon::start(&root, &temp, &format!("edge-{n}"), store.address))
        .collect();
    if !hosts.iter().all(|host| host.wait_ready(Duration::from_secs(10))) {
        record.say("the hosts did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(7));
    record.say(&format!("entries of hosts in the store: {:?}", store.keys("comfreyway/hosts/")));
    record.say("edge-0 is frozen for 1.5 s");
    hosts[0].signal("-STOP");
    thread::sleep(FREEZE);
    hosts[0].signal("-CONT");
    // Three times `contactMs`: all hosts are in touch, though QUOTA doesn't ask for it.
    thread::sleep(Duration::from_secs(9));
    if !hosts.iter().all(Daemon::is_ready) {
        record.say("a host is not ready before the load");
        return 2;
    }
    record.say("callers of the tenant send all hosts more than its quota");
    let sent: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let statuses: Arc<Mutex<HashMap<u16, usize>>> = Arc::default();
    let end = Instant::now() + LOAD;
    let mut senders = Vec::new();
    for host in &hosts {
        for n in 0..SENDERS_PER_HOST {
            let (name, front) = (host.name.clone(), host.front);
            let (record, sent, statuses) = (record.clone(), sent.clone(), statuses.clone());
            senders.push(thread::spawn(move || {
                for number in 0.. {
                    let begun = Instant::now();
                    if begun >= end {
                        return;
                    }
                    let id = format!("{name}-{n}-{number}");
                    let headers = [
                        ("X-Comfreyway-Request-Id", id.as_str()),
                        ("X-Comfreyway-Model", "m"),
                        ("X-Comfreyway-Token-Usage", TOKENS),
                        ("X-Comfreyway-Request-Deadline-Ms", "12000"),
                        ("X-Api-Key", "key-of-desk"),
                    ];
                    sent.lock().unwrap().insert(id.clone(), record.now());
                    let limit = Duration::from_secs(13);
                    let answer = call(front, "POST", "/report/1", &headers, &id, limit);
                    record.line(&format!("{name}: {id} answered {}", answer.status));
                    *statuses.lock().unwrap().entry(answer.status).or_default() += 1;
                    thread::sleep(PAUSE.saturating_sub(begun.elapsed()));
                }
            }));
        }
    }
    senders.into_iter().for_each(|sender| sender.join().unwrap());
    let running = hosts.iter_mut().all(Daemon::is_running);
    drop(hosts);
    let sent = sent.lock().unwrap();
    let mut all: Vec<(f64, f64, f64)> = runs
        .all()
        .iter()
        .filter_map(|run| Some((*sent.get(&run.id)?, run.at, run.tokens)))
        .collect();
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let tokens_from = |from: f64| -> f64 {
        let inside = all.iter().filter(|(sent, ran, _)| *sent >= from && *ran <= from + WINDOW_S);
        inside.map(|(.., tokens)| tokens).sum()
    };
    let most = all.iter().map(|(from, ..)| tokens_from(*from)).fold(0.0, f64::max);
    let statuses = statuses.lock().unwrap();
    record.say(&format!("answers by status: {statuses:?}; all processes run: {running}"));
    record.say(&format!("most tokens in a window of 8 s: {most:.0}, allowed: {ALLOWED:.0}"));
    if statuses.get(&200).copied().unwrap_or_default() == 0 {
        return 2;
    }
    i32::from(most > ALLOWED)
}

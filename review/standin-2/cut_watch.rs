//! A runner whose entry is removed while the store cuts a waiting watch now and then.

mod kit;

use std::{
    collections::HashMap,
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use kit::{arguments, call, unix_ms, Cuts, Daemon, Record, Runner, RunnerPlan, Runs, Store};

const HOSTS: usize = 2;
const RUNNERS: usize = 8;
const SLOTS: usize = 6;
const DRAIN_S: f64 = 2.0;

/// Every second watch of a host is cut after 0.2 s of its wait.
const CUT_AFTER: Duration = Duration::from_millis(200);

/// Time from the removal of its entry for which the runner goes on.
const LINGER: Duration = Duration::from_secs(8);
const SENDERS_PER_HOST: usize = 8;
const PAUSE: Duration = Duration::from_millis(40);

fn main() {
    exit(run());
}

fn run() -> i32 {
    let (root, case, temp, trouble) = arguments();
    let record = Record::create(&case.join("record.txt"));
    let store = Store::start(&record);
    store.put("op/config", r#"{"version":1,"routes":[{"name":"consent","host":"desk.example","prefix":"/consent/","kind":"unsafe","timeoutMs":1500,"sloMs":300,"priority":2,"service":"survey","attempts":1,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"survey","healthCheck":"/health","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"desk","apiKeys":["key-of-desk"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":108133,"burst":108133}]}"#);
    let runs = Runs::default();
    let runners: Vec<Runner> = (0..RUNNERS)
        .map(|n| {
            let work = Duration::from_millis(200);
            let plan = RunnerPlan { id: format!("i-{n}"), slots: SLOTS, work, weights: 1 };
            let runner = Runner::start(&plan, &runs, &record);
            let entry = runner.entry("survey", SLOTS, "ready", unix_ms());
            store.put(&format!("servers/{}", runner.id), &entry);
            runner
        })
        .collect();
    let hosts: Vec<Daemon> = (0..HOSTS)
        .map(|n| {
            let store = store.another_address();
            if trouble {
                store.set_cuts(Cuts::new(CUT_AFTER));
            }
            Daemon::start(&root, &temp, &format!("edge-{n}"), store.address)
        })
        .collect();
    if !hosts.iter().all(|host| host.wait_ready(Duration::from_secs(10))) {
        record.say("the hosts did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let sent: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let statuses: Arc<Mutex<HashMap<u16, usize>>> = Arc::default();
    let end = Instant::now() + Duration::from_secs(15);
    let mut senders = Vec::new();
    for host in &hosts {
        for n in 0..SENDERS_PER_HOST {
            let (name, front) = (host.name.clone(), host.front);
            let (record, sent, statuses) = (record.clone(), sent.clone(), statuses.clone());
            senders.push(thread::spawn(move || {
                for number in 0.. {
                    if Instant::now() >= end {
                        return;
                    }
                    let id = format!("{name}-{n}-{number}");
                    let headers = [
                        ("X-Comfreyway-Request-Id", id.as_str()),
                        ("X-Comfreyway-Request-Deadline-Ms", "3000"),
                        ("X-Api-Key", "key-of-desk"),
                    ];
                    sent.lock().unwrap().insert(id.clone(), record.now());
                    let limit = Duration::from_secs(4);
                    let answer = call(front, "POST", "/consent/1", &headers, &id, limit);
                    record.line(&format!("{name}: {id} answered {}", answer.status));
                    *statuses.lock().unwrap().entry(answer.status).or_default() += 1;
                    thread::sleep(PAUSE);
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(4));
    let leaving = &runners[RUNNERS - 1];
    store.delete(&format!("servers/{}", leaving.id));
    let removed = record.now();
    record.say(&format!("{} leaves: its entry is removed, and it goes on for 8 s", leaving.id));
    thread::sleep(LINGER);
    leaving.end();
    record.say(&format!("{} exits", leaving.id));
    senders.into_iter().for_each(|sender| sender.join().unwrap());
    drop(hosts);
    let sent = sent.lock().unwrap();
    let is_late = |id: &String| sent.get(id).is_some_and(|at| *at > removed + DRAIN_S);
    let all = runs.all();
    let late = all.iter().filter(|run| run.runner == leaving.id && is_late(&run.id));
    let times: Vec<f64> = late.map(|run| run.at - removed).collect();
    let statuses = statuses.lock().unwrap();
    record.say(&format!("answers by status: {statuses:?}"));
    record.say(&format!(
        "requests at {} that clients sent later than drainMs after its removal: {}, the last {:.1} s after it",
        leaving.id,
        times.len(),
        times.last().copied().unwrap_or_default()
    ));
    if all.is_empty() {
        return 2;
    }
    i32::from(!times.is_empty())
}

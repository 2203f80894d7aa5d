//! Requests that expect other weights than the runners have.

mod kit;

use std::{process::exit, thread, time::Duration};

use kit::{arguments, call, unix_ms, Daemon, Record, Runner, RunnerPlan, Runs, Store};

const HOSTS: usize = 2;
const RUNNERS: usize = 12;
const SLOTS: usize = 5;
/// Version of the weights of all runners, and of those that a client still expects.
const WEIGHTS: u64 = 2;
const EXPECTED: &str = "1";
/// Requests of the client that expects other weights, and the pause between them.
const PINNED: usize = 20;
const PINNED_PAUSE: Duration = Duration::from_millis(200);
/// Requests on each route in steady state.
const REQUESTS: usize = 24;

const SERVICES: &str = r#""services":[{"name":"dala","healthCheck":"/health","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":5,"kvCapacity":546689,"stride":3}},{"name":"survey","healthCheck":"/health","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"desk","apiKeys":["key-of-desk"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":108133,"burst":108133}]}"#;

fn streaming(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"desk.example","prefix":"/report/{name}/","kind":"streaming","timeoutMs":6000,"sloMs":800,"priority":0,"service":"dala","attempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":250}}"#
    )
}

/// A configuration with these streaming routes beside the plain one.
fn configuration(version: u64, names: &[&str]) -> String {
    let plain = r#"{"name":"lookup","host":"desk.example","prefix":"/lookup/","kind":"safe","timeoutMs":1500,"sloMs":300,"priority":2,"service":"survey","attempts":2,"public":false,"sticky":false,"resumable":false}"#;
    let routes: Vec<String> = names.iter().map(|name| streaming(name)).collect();
    format!(r#"{{"version":{version},"routes":[{plain},{}],{SERVICES}"#, routes.join(","))
}

fn main() {
    exit(run());
}

fn run() -> i32 {
    let (root, case, temp, trouble) = arguments();
    let record = Record::create(&case.join("record.txt"));
    let store = Store::start(&record);
    store.put("op/config", &configuration(1, &["first"]));
    let runs = Runs::default();
    let start = |id: String, service: &str| {
        let work = Duration::from_millis(30);
        let plan = RunnerPlan { id, slots: SLOTS, work, weights: WEIGHTS };
        let runner = Runner::start(&plan, &runs, &record);
        let entry = runner.entry(service, SLOTS, "ready", unix_ms());
        store.put(&format!("servers/{}", runner.id), &entry);
        runner
    };
    let engines: Vec<Runner> = (0..RUNNERS).map(|n| start(format!("i-{n}"), "dala")).collect();
    let plain: Vec<Runner> = (0..3).map(|n| start(format!("s-{n}"), "survey")).collect();
    let hosts: Vec<Daemon> = (0..HOSTS)
        .map(|n| Daemon::start(&root, &temp, &format!("edge-{n}"), store.address))
        .collect();
    if !hosts.iter().all(|host| host.wait_ready(Duration::from_secs(10))) {
        record.say("the hosts did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(5));
    let ask = |host: &Daemon, path: &str, id: &str, expected: Option<&str>| {
        let mut headers = vec![
            ("X-Comfreyway-Request-Id", id),
            ("X-Comfreyway-Request-Deadline-Ms", "6000"),
            ("X-Api-Key", "key-of-desk"),
        ];
        if path.starts_with("/report/") {
            headers.push(("X-Comfreyway-Model", "m"));
            headers.push(("X-Comfreyway-Token-Usage", "1110,120"));
        }
        headers.extend(expected.map(|version| ("X-Comfreyway-Expect-Version", version)));
        let answer = call(host.front, "POST", path, &headers, id, Duration::from_secs(7));
        record.line(&format!("{}: {id} {path} answered {} {}", host.name, answer.status, match answer.status {
            200 => "",
            _ => &answer.body,
        }));
        answer.status
    };
    let before = ask(&hosts[0], "/report/first/1", "before", None);
    record.say(&format!("a request before: {before}"));
    if before != 200 {
        return 2;
    }
    for n in 0..PINNED {
        let expected = trouble.then_some(EXPECTED);
        ask(&hosts[0], "/report/first/1", &format!("pinned-{n}"), expected);
        thread::sleep(PINNED_PAUSE);
    }
    record.say("the client has sent its requests; the operator adds a route");
    store.put("op/config", &configuration(4, &["first", "added"]));
    // `configMs`, and what SYSTEM.md calls `contactMs`.
    thread::sleep(Duration::from_secs(5));
    let mut served = [0; 3];
    let paths = ["/lookup/1", "/report/first/1", "/report/added/1"];
    thread::scope(|scope| {
        let asked: Vec<_> = (0..paths.len())
            .flat_map(|route| (0..HOSTS).map(move |host| (route, host)))
            .map(|(route, host)| {
                let (ask, host, path) = (&ask, &hosts[host], paths[route]);
                scope.spawn(move || {
                    let statuses = (0..REQUESTS / HOSTS).map(|n| {
                        thread::sleep(Duration::from_millis(100));
                        ask(host, path, &format!("steady-{route}-{}-{n}", host.name), None)
                    });
                    (route, statuses.filter(|status| *status == 200).count())
                })
            })
            .collect();
        for (route, count) in asked.into_iter().map(|asked| asked.join().unwrap()) {
            served[route] += count;
        }
    });
    let alive = engines.iter().filter(|runner| runner.is_healthy()).count();
    drop(hosts);
    drop((engines, plain));
    record.say(&format!("runners of dala that answer GET /health with 200: {alive} of {RUNNERS}"));
    for (path, count) in paths.iter().zip(served) {
        record.say(&format!("{path}: {count} of {REQUESTS} served"));
    }
    let first = (served[0] + served[1]) as f64 / (2 * REQUESTS) as f64;
    let added = served[2] as f64 / REQUESTS as f64;
    record.say(&format!("served on the first routes: {first:.2}, on the one added later: {added:.2}"));
    if served[0] < REQUESTS / 2 {
        return 2;
    }
    i32::from(added < first / 4.0)
}

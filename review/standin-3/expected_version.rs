//! A caller names a version of the weights that no runner has.

use super::*;

/// Time for which requests are counted.
const COUNTED_S: u64 = 20;

fn send(path: &str, number: usize, host: &Host) -> (String, u16) {
    send_to(path, number, host.callers)
}

/// Sends a request and returns its id and the status; zero without a whole response.
fn send_to(path: &str, number: usize, to: SocketAddr) -> (String, u16) {
    let (id, call) = call(path, number, 3_000);
    let reply = call.send(to);
    (id, reply.map_or(0, |reply| if reply.whole { reply.status } else { 0 }))
}

/// Returns true if the rule was broken.
pub(super) fn play(case: &Case) -> Result<bool, Failure> {
    let store = Store::start()?;
    let lookup = || Route { prefix: "/lookup/", kind: "safe", service: "api", resumable: false };
    let report =
        || Route { prefix: "/report/", kind: "streaming", service: "llm", resumable: true };
    store.put("op/config", &configuration(1, &[lookup()]));
    let mut runners = Vec::new();
    for (name, service, events) in [
        ("i-a1", "api", 0),
        ("i-a2", "api", 0),
        ("i-m1", "llm", 4),
        ("i-m2", "llm", 4),
        ("i-m3", "llm", 4),
        ("i-m4", "llm", 4),
    ] {
        let runner = Runner::start(RunnerSettings {
            name: name.to_owned(),
            service,
            version: "v1",
            weights: 6,
            events,
            gap: Duration::from_millis(10),
            framing: Framing::Chunked,
            text: "a piece",
            rest: "a piece",
        })?;
        store.put(&runner.key(), &runner.entry("ready"));
        runners.push(runner);
    }
    let hosts = [
        Host::new("edge-1", AYAQ_EXIT)?,
        Host::new("edge-2", AYAQ_EXIT)?,
        Host::new("edge-3", AYAQ_EXIT)?,
    ];
    for host in &hosts {
        case.start_host(host, store.address)?;
    }
    case.wait_ready(&hosts)?;
    store.put("op/config", &configuration(2, &[lookup(), report()]));
    case.note("version 2 of the configuration adds the route /report/");
    thread::sleep(Duration::from_secs(4));

    let mut before = 0;
    for number in 0..60 {
        before += usize::from(send("/report/x", number, &hosts[number % 3]).1 == 200);
    }
    case.note(&format!("before: 60 requests on /report/, {before} answered 200"));
    if before != 60 {
        return Err("the fleet doesn't serve".into());
    }

    // The caller has seen version 5 in an earlier response. Without trouble it has seen 6.
    let expected = if case.trouble { "5" } else { "6" };
    let (id, call) = call("/report/x", 100_000, 3_000);
    let reply = call.with("X-Comfreyway-Expect-Version", expected).send(hosts[0].callers)?;
    case.note(&format!(
        "request {id} with X-Comfreyway-Expect-Version: {expected} gets {}, {}",
        reply.status,
        String::from_utf8_lossy(&reply.body).trim()
    ));
    thread::sleep(Duration::from_secs(4));

    let mut asked = 0;
    let mut callers = Vec::new();
    let until = Instant::now() + Duration::from_secs(COUNTED_S);
    let arrivals = |runners: &[Runner]| -> usize {
        let engines = runners.iter().filter(|runner| runner.settings.service == "llm");
        engines.map(|runner| runner.arrivals.load(Ordering::SeqCst)).sum()
    };
    let arrived_before = arrivals(&runners);
    while Instant::now() < until {
        for path in ["/lookup/x", "/report/x"] {
            let (number, to) =
                (200_000 + 2 * asked + usize::from(path == "/lookup/x"), hosts[asked % 3].callers);
            callers.push(thread::spawn(move || (path, send_to(path, number, to).1)));
        }
        asked += 1;
        thread::sleep(Duration::from_millis(250));
    }
    let mut served = BTreeMap::new();
    for caller in callers {
        *served.entry(caller.join().map_err(|_| "a caller failed")?).or_insert(0_usize) += 1;
    }
    for ((path, status), count) in &served {
        case.note(&format!("for {COUNTED_S} s, on {path}: {count} answers with {status}"));
    }
    let arrived = arrivals(&runners) - arrived_before;
    case.note(&format!("{asked} requests on each route; {arrived} arrived at runners of llm"));
    let share = |path| served.get(&(path, 200)).map_or(0.0, |count| *count as f64 / asked as f64);
    let (first, added) = (share("/lookup/x"), share("/report/x"));
    case.note(&format!("served: {first:.2} on the first route, {added:.2} on the added one"));
    if first < 0.9 {
        return Err("the first route is not served".into());
    }
    Ok(asked >= 20 && added < first / 4.0)
}

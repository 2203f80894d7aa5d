//! Another writer's entry, of which fields are missing, stands under the id of a runner of an
//! engine and names the plain service.

use super::*;

const REQUESTS: usize = 100;

/// Time between two requests, and of one at the plain service, as in the site's sheet.
const GAP: Duration = Duration::from_millis(50);
const WORK: Duration = Duration::from_millis(60);

/// Writes of the other writer, and the time between them. The runner writes its own entry again
/// with each heartbeat.
const STRAY_WRITES: usize = 3;
const STRAY_INTERVAL: Duration = Duration::from_millis(1_700);

/// Returns true if the rule was broken.
pub(super) fn play(case: &Case) -> Result<bool, Failure> {
    let store = Store::start()?;
    let routes = [
        Route { prefix: "/count/", kind: "unsafe", service: "api", resumable: false },
        Route { prefix: "/report/", kind: "streaming", service: "llm", resumable: true },
    ];
    store.put("op/config", &configuration(1, &routes));
    let mut runners = Vec::new();
    for (name, service, events) in
        [("i-a1", "api", 0), ("i-a2", "api", 0), ("i-m1", "llm", 4), ("i-m2", "llm", 4)]
    {
        let runner = Runner::start(RunnerSettings {
            name: name.to_owned(),
            service,
            version: "v1",
            weights: 1,
            events,
            gap: WORK,
            text: "a piece",
        })?;
        runner.register(&store);
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
    thread::sleep(Duration::from_secs(4));
    let foreign = play_requests(case, &hosts, &runners, 1)?;
    if foreign > 0 {
        return Err("requests run at a foreign service without trouble".into());
    }
    if case.trouble {
        let entry = format!(
            r#"{{"service":"api","address":"{}","zone":"alatau","slots":5,"state":"ready"}}"#,
            runners[2].address
        );
        case.note(&format!("another writer puts {}: {entry}", runners[2].key()));
        let (store, key) = (store.clone(), runners[2].key());
        // At any moment between two heartbeats.
        let phase = Duration::from_millis(unix_ms() * 7_919 % HEARTBEAT.as_millis() as u64);
        thread::spawn(move || {
            thread::sleep(phase);
            for _ in 0..STRAY_WRITES {
                store.put(&key, &entry);
                thread::sleep(STRAY_INTERVAL);
            }
        });
    }
    let foreign = play_requests(case, &hosts, &runners, 10_000)?;
    Ok(foreign > 0)
}

/// Sends requests on the route of the plain service. Returns how many ran at the other service, which no
/// configuration allows.
fn play_requests(
    case: &Case,
    hosts: &[Host],
    runners: &[Runner],
    first: usize,
) -> Result<usize, Failure> {
    let mut callers = Vec::new();
    for number in 0..REQUESTS {
        let (id, call) = call("/count/x", first + number, 5_000);
        let to = hosts[number % hosts.len()].callers;
        callers.push(thread::spawn(move || (id, call.send(to).unwrap_or_default())));
        thread::sleep(GAP);
    }
    let (mut foreign, mut served) = (0, 0);
    for caller in callers {
        let (id, reply) = caller.join().map_err(|_| "a caller failed")?;
        served += usize::from(reply.status == 200);
        let ran = runners.iter().find(|runner| runner.runs.lock().unwrap().contains(&id));
        let Some(runner) = ran.filter(|runner| runner.settings.service != "api") else { continue };
        foreign += 1;
        if foreign <= 5 {
            case.note(&format!(
                "request {id} on /count/ ran at {} of service {}; its caller gets {}, {:?}",
                runner.settings.name,
                runner.settings.service,
                reply.status,
                String::from_utf8_lossy(&reply.body)
            ));
        }
    }
    case.note(&format!("{REQUESTS} requests on /count/: {served} get 200, {foreign} ran at llm"));
    Ok(foreign)
}

//! The store comes back from a copy that lacks the record of versions. Later all hosts are
//! killed while the runners are replaced by those of another version.

use super::*;

const EVENTS: u64 = 30;
const STREAMS: usize = 9;

/// The key under which the hosts keep the versions that serve.
const RECORD: &str = "comfreyway/versions";

/// Returns true if the rule was broken.
pub(super) fn play(case: &Case) -> Result<bool, Failure> {
    let store = Store::start()?;
    let routes = [Route { prefix: "/report/", kind: "streaming", service: "llm", resumable: true }];
    let config = configuration(1, &routes);
    let start = |names: [&str; 2], version: &'static str| -> Result<Vec<Runner>, Failure> {
        let runners = names.map(|name| {
            Runner::start(RunnerSettings {
                name: name.to_owned(),
                service: "llm",
                version,
                weights: 1,
                events: EVENTS,
                gap: Duration::from_millis(200),
                text: version,
            })
        });
        runners.into_iter().collect()
    };
    let old = start(["i-a", "i-b"], "v1")?;
    store.put("op/config", &config);
    old.iter().for_each(|runner| runner.register(&store));
    let copy = store.copy();
    let hosts = [
        Host::new("edge-1", AYAQ_EXIT)?,
        Host::new("edge-2", AYAQ_EXIT)?,
        Host::new("edge-3", AYAQ_EXIT)?,
    ];
    for host in &hosts {
        case.start_host(host, store.address)?;
    }
    case.wait_ready(&hosts)?;
    let until = Instant::now() + Duration::from_secs(5);
    while !store.has(RECORD) {
        if Instant::now() > until {
            return Err("the hosts write no record of versions".into());
        }
        thread::sleep(Duration::from_millis(20));
    }
    case.note("the store has the record of versions");
    thread::sleep(Duration::from_secs(3));
    if case.trouble {
        store.come_back_from(copy, Duration::from_millis(300));
        case.note("the store is back from a copy that is some seconds old, in a new era");
        thread::sleep(Duration::from_millis(500));
        store.put("op/config", &config);
        case.note("the operator has written again, and the runners do so with their heartbeats");
    }
    thread::sleep(Duration::from_secs(10));
    case.note(&format!("10 s later, the store has the record of versions: {}", store.has(RECORD)));

    let mut callers = Vec::new();
    for number in 0..STREAMS {
        let (id, call) = call("/report/x", number + 1, 15_000);
        let to = hosts[number % hosts.len()].callers;
        callers.push(thread::spawn(move || (id, call.send(to).map_err(|e| e.to_string()))));
    }
    thread::sleep(Duration::from_millis(2_000));
    case.end_daemons();
    case.note("the processes of all hosts are killed");
    let new = start(["i-c", "i-d"], "v2")?;
    new.iter().for_each(|runner| runner.register(&store));
    thread::sleep(Duration::from_millis(300));
    // These never report that they drain: their entries are removed, and they serve for a while.
    old.iter().for_each(|runner| runner.leave(&store));
    case.note("runners of v2 serve, and the entries of those of v1 are removed");
    let leaving = old.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(2_500));
        leaving.iter().for_each(Runner::crash);
    });
    thread::sleep(Duration::from_millis(1_600));
    for host in &hosts {
        case.start_host(host, store.address)?;
    }
    case.wait_ready(&hosts)?;

    let mut takers = Vec::new();
    for (number, caller) in callers.into_iter().enumerate() {
        let (id, reply) = caller.join().map_err(|_| "a caller failed")?;
        let first = reply.map(|reply| events(&reply.body)).unwrap_or_default();
        let Some((last, _)) = first.last().cloned() else {
            case.note(&format!("stream {id} brought no event"));
            continue;
        };
        let (next_id, call) = call("/report/x", 1_000 + number, 12_000);
        let call = call.with("Resumes", &id).with("Last-Event-Id", &last.to_string());
        let to = hosts[number % hosts.len()].callers;
        takers.push((id, next_id, first, thread::spawn(move || call.send(to).unwrap_or_default())));
    }
    let mut joined = 0;
    for (id, next_id, first, taker) in takers {
        let reply = taker.join().map_err(|_| "a caller failed")?;
        let rest = events(&reply.body);
        let version = |(_, text): &(u64, String)| text.split(' ').next().unwrap_or("").to_owned();
        let versions: BTreeSet<_> = first.iter().chain(&rest).map(version).collect();
        joined += usize::from(versions.len() > 1);
        case.note(&format!(
            "stream {id} broke off after event {:?}; {next_id} takes it up and gets {}, events \
             {:?} to {:?}, versions in the whole: {versions:?}",
            first.last().map(|(id, _)| *id),
            reply.status,
            rest.first().map(|(id, _)| *id),
            rest.last().map(|(id, _)| *id)
        ));
    }
    case.note(&format!("{joined} streams hold events of two versions; more than 2 break the rule"));
    Ok(joined > 2)
}

//! Callers stop reading for some seconds, long before their deadline.

use super::*;

const CALLERS: usize = 10;

/// Events of a stream, half of the most in the site file.
const EVENTS: u64 = 120;

/// Time for which a caller reads nothing.
const PAUSE: Duration = Duration::from_secs(4);

/// Returns true if the rule was broken.
pub(super) fn play(case: &Case) -> Result<bool, Failure> {
    let store = Store::start()?;
    let routes =
        [Route { prefix: "/digest/", kind: "streaming", service: "llm", resumable: false }];
    store.put("op/config", &configuration(1, &routes));
    let mut runners = Vec::new();
    for name in ["i-m1", "i-m2", "i-m3"] {
        let runner = Runner::start(RunnerSettings {
            name: name.to_owned(),
            service: "llm",
            version: "v1",
            weights: 1,
            events: EVENTS,
            gap: Duration::from_millis(10),
            framing: Framing::Chunked,
            text: "a piece of the digest of a battery fault log",
            rest: "",
        })?;
        store.put(&runner.key(), &runner.entry("ready"));
        runners.push(runner);
    }
    let hosts = [Host::new("edge-1", GUMA)?, Host::new("edge-2", GUMA)?];
    for host in &hosts {
        case.start_host(host, store.address)?;
    }
    case.wait_ready(&hosts)?;
    thread::sleep(Duration::from_secs(4));
    case.hang_up()?;
    thread::sleep(Duration::from_millis(200));

    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let (id, call) = call("/digest/x", number + 1, 10_000);
        let (to, pause) =
            (hosts[number % 2].callers, if case.trouble { PAUSE } else { Duration::ZERO });
        callers.push(thread::spawn(move || {
            let started = Instant::now();
            let reply = call.send_pausing(to, pause).map_err(|e| e.to_string());
            (id, reply, started.elapsed())
        }));
    }
    let mut cut = 0;
    for caller in callers {
        let (id, reply, time) = caller.join().map_err(|_| "a caller failed")?;
        let ran = runners.iter().any(|runner| runner.runs.lock().unwrap().contains(&id));
        let (status, events, whole) = reply
            .map_or((0, 0, false), |reply| (reply.status, events(&reply.body).len(), reply.whole));
        cut += usize::from(ran && !whole);
        case.note(&format!(
            "request {id}: ran {ran}, status {status}, {events} of {EVENTS} events, whole {whole}, \
             {:.1} s",
            time.as_secs_f64()
        ));
    }
    case.note(&format!(
        "{cut} of {CALLERS} requests ran and their connection ended without a whole answer"
    ));
    Ok(cut > 0)
}

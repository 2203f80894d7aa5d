//! A stream with a declared length goes on at another runner, whose part has another size.

use super::*;

const EVENTS: u64 = 20;
const STREAMS: usize = 24;

/// Returns true if the rule was broken.
pub(super) fn play(case: &Case) -> Result<bool, Failure> {
    let store = Store::start()?;
    let routes = [Route { prefix: "/report/", kind: "streaming", service: "llm", resumable: true }];
    store.put("op/config", &configuration(1, &routes));
    let mut runners = Vec::new();
    for name in ["i-a", "i-b", "i-c", "i-d", "i-e", "i-f"] {
        let runner = Runner::start(RunnerSettings {
            name: name.to_owned(),
            service: "llm",
            version: "v1",
            weights: 1,
            events: EVENTS,
            gap: Duration::from_millis(100),
            framing: Framing::Length,
            text: "a piece",
            // A new run words the rest in its own way.
            rest: "the piece, in other words",
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
    thread::sleep(Duration::from_secs(4));

    let mut callers = Vec::new();
    for number in 0..STREAMS {
        let (id, call) = call("/report/x", number + 1, 12_000);
        let to = hosts[number % hosts.len()].callers;
        callers.push(thread::spawn(move || (id, call.send(to).map_err(|e| e.to_string()))));
    }
    thread::sleep(Duration::from_millis(900));
    if case.trouble {
        let crashed = runners.iter().max_by_key(|runner| runner.running()).ok_or("no runner")?;
        case.note(&format!(
            "runner {} crashes with {} streams",
            crashed.settings.name,
            crashed.running()
        ));
        crashed.crash();
        // Its entry is removed after three intervals of silence.
        let (store, key) = (store.clone(), crashed.key());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3_600));
            store.delete(&key);
        });
    }
    let mut broken = 0;
    for caller in callers {
        let (id, reply) = caller.join().map_err(|_| "a caller failed")?;
        let Ok(reply) = reply else {
            case.note(&format!("stream {id}: {reply:?}"));
            continue;
        };
        let seen: Vec<_> = events(&reply.body).into_iter().map(|(id, _)| id).collect();
        let last = seen.last().copied().unwrap_or(0);
        let ran_at = runners.iter().filter(|runner| runner.runs.lock().unwrap().contains(&id));
        let ran_at: Vec<_> = ran_at.map(|runner| runner.settings.name.as_str()).collect();
        let is_broken = reply.status == 200 && reply.whole && last != EVENTS;
        broken += usize::from(is_broken);
        case.note(&format!(
            "stream {id}: status {}, length {:?}, {} bytes, whole {}, last event {last} of {EVENTS}, \
             ran at {ran_at:?}{}",
            reply.status,
            reply.header("content-length"),
            reply.body.len(),
            reply.whole,
            if is_broken { " <- ends as complete before its last event" } else { "" }
        ));
        if !case.trouble && (!reply.whole || last != EVENTS) {
            return Err("a stream failed without trouble".into());
        }
    }
    case.note(&format!("{broken} of {STREAMS} streams end as complete before their last event"));
    Ok(broken > 0)
}

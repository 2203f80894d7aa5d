//! Prompts of many parts, one of which crashes each runner that begins to answer.

use super::*;

/// Parts of each prompt, as in a long conversation. The last one is the request's own.
const PARTS: usize = 40;

/// The part that crashes runners.
const DEADLY: &str = "dead";

/// Time for which a crashed runner is down.
const DOWN: Duration = Duration::from_secs(2);

/// `contactMs` of the site.
const CONTACT: Duration = Duration::from_secs(3);

/// Crashes from which on such requests have to stop, and how many may still come.
const CRASHES: usize = 5;
const MAX_LATE: usize = 3;

/// Time for which a crash may not have been noticed here.
const NOTICE: Duration = Duration::from_millis(500);

/// Time for which only sound requests come, and time of the play after it.
const CALM: Duration = Duration::from_secs(5);
const TROUBLED: Duration = Duration::from_secs(20);

/// Of so many requests one is deadly, and the time between two requests.
const ONE_IN: usize = 33;
const GAP: Duration = Duration::from_millis(33);

/// A request that was sent.
struct Sent {
    is_deadly: bool,
    at: Instant,
    is_whole: bool,
}

/// Returns true if the rule was broken.
pub(super) fn play(case: &Case) -> Result<bool, Failure> {
    // By hand: an earlier place shows what the hosts do with a part that they read.
    let place = env::var("PLACE").ok().and_then(|place| place.parse().ok()).unwrap_or(36);
    let store = Store::start()?;
    let routes =
        [Route { prefix: "/report/", kind: "streaming", service: "llm", resumable: false }];
    store.put("op/config", &configuration(1, &routes));
    let mut runners = Vec::new();
    for name in ["i-m1", "i-m2", "i-m3", "i-m4", "i-m5", "i-m6"] {
        let runner = Runner::start(RunnerSettings {
            name: name.to_owned(),
            service: "llm",
            version: "v1",
            weights: 1,
            events: 10,
            gap: Duration::from_millis(20),
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

    let began = Instant::now();
    let trouble_at = began + CALM;
    let mut callers = Vec::new();
    let mut crashes: Vec<Instant> = Vec::new();
    let mut deadly_ids = BTreeSet::new();
    let mut down: Vec<(Instant, usize)> = Vec::new();
    let mut number = 0;
    let mut late = 0;
    while began.elapsed() < CALM + TROUBLED {
        number += 1;
        let is_deadly = case.trouble && number % ONE_IN == 0 && Instant::now() > trouble_at;
        let (id, call) = call(&format!("/report/{number}"), number, 6_000);
        let mut parts: Vec<_> =
            (0..PARTS - 1).map(|part| format!("{:x}:20", 0x1000 + part)).collect();
        if is_deadly {
            parts[place - 1] = format!("{DEADLY}:20");
            deadly_ids.insert(id.clone());
        }
        parts.push(format!("{:x}:20", 0x100_0000 + number));
        let call = call
            .with("X-Comfreyway-Model", "m")
            .with("X-Comfreyway-Token-Usage", "800,30")
            .with("X-Comfreyway-Prompt-Prefix", &parts.join(","));
        let to = hosts[number % hosts.len()].callers;
        callers.push(thread::spawn(move || {
            let at = Instant::now();
            let reply = call.send(to).unwrap_or_default();
            Sent { is_deadly, at, is_whole: reply.status == 200 && reply.whole }
        }));
        thread::sleep(GAP);
        // A runner that has begun to answer a deadly request crashes.
        for (at, runner) in runners.iter_mut().enumerate() {
            let is_down = runner.is_down.load(Ordering::SeqCst);
            let mut runs = runner.runs.lock().unwrap();
            let struck: Vec<_> = runs.extract_if(.., |id| deadly_ids.contains(id)).collect();
            drop(runs);
            let is_late =
                crashes.get(CRASHES - 1).is_some_and(|at| at.elapsed() > CONTACT + NOTICE);
            late += if is_late { struck.len() } else { 0 };
            if !struck.is_empty() && !is_down {
                crashes.push(Instant::now());
                case.note(&format!("request {} crashes {}", struck[0], runner.settings.name));
                runner.crash();
                down.push((Instant::now(), at));
            }
        }
        for (_, at) in down.extract_if(.., |(since, _)| since.elapsed() > DOWN) {
            runners[at].start_again();
            store.put_if_other(&runners[at].key(), &runners[at].entry("ready"));
        }
    }
    let mut sent = Vec::new();
    for caller in callers {
        sent.push(caller.join().map_err(|_| "a caller failed")?);
    }
    for (name, is_calm) in [("before the trouble", true), ("since then", false)] {
        let sound = sent.iter().filter(|s| !s.is_deadly && (s.at < trouble_at) == is_calm);
        let whole: Vec<_> = sound.map(|s| s.is_whole).collect();
        let served = whole.iter().filter(|is_whole| **is_whole).count();
        case.note(&format!("{name}: {served} of {} sound requests are served", whole.len()));
    }
    case.note(&format!("{} crashes", crashes.len()));
    case.note(&format!(
        "{late} requests with the part reach runners later than contactMs after the fifth crash; \
         more than {MAX_LATE} break the rule"
    ));
    Ok(late > MAX_LATE)
}

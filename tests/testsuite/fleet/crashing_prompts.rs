//! Prompts with a part that crashes each runner that begins to respond to them.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use comfreyway_testkit::{
    daemon::eventually,
    fleet_runner::{FleetRunner, RunnerMode},
};

use crate::support::Daemon;

use super::harness::{DESK_KEY, FleetHarness, KEY, PARTS, call_with, events};

/// The part that crashes runners.
const CRASHING_PART: &str = "bad0";

/// Number of events of a whole stream.
const EVENTS: u64 = 6;

const RUNNERS: usize = 6;

/// Crashes of which the users know, before they count what still reaches runners.
const KNOWN_CRASHES: usize = 5;

/// Requests that may reach runners later than `CONTACT_TIME` after these crashes.
const ALLOWED_ARRIVALS: usize = 3;

/// Time within which all hosts hear of each other, as the users configure it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Maximum time until the known crashes.
const MAX_CRASH_TIME: Duration = Duration::from_secs(20);

/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(40);

/// Time after which a crashed runner is replaced.
const RESTART_TIME: Duration = Duration::from_millis(200);

/// Runners that crash and are replaced by others.
struct CrashingFleet {
    fleet: FleetHarness,
    runners: Vec<FleetRunner>,
    started: usize,
    crashes: Vec<Instant>,
    /// Arrivals of requests with the crashing part at runners that have ended.
    arrivals: Vec<Instant>,
}

impl CrashingFleet {
    fn new() -> Self {
        let fleet = FleetHarness::new();
        let (runners, crashes, arrivals) = (Vec::new(), Vec::new(), Vec::new());
        let mut fleet = Self { fleet, runners, started: 0, crashes, arrivals };
        (0..RUNNERS).for_each(|_| fleet.start_runner());
        fleet
    }

    fn start_runner(&mut self) {
        self.started += 1;
        let name = format!("e{}", self.started);
        let runner = self.fleet.start_version("dala", &name, "v1", RunnerMode::Stream(EVENTS));
        runner.crash_on(CRASHING_PART);
        self.runners.push(runner);
    }

    /// Ends the runners that have crashed, and starts others after a while.
    async fn replace_crashed(&mut self) {
        let crashed: Vec<_> = self.runners.extract_if(.., |runner| runner.has_crashed()).collect();
        if crashed.is_empty() {
            return;
        }
        for runner in crashed {
            self.crashes.push(Instant::now());
            self.arrivals.extend(crashing_arrivals(&runner));
            let key = format!("servers/{}", runner.name());
            drop(runner);
            self.fleet.store.delete(&key);
        }
        sleep(RESTART_TIME).await;
        while self.runners.len() < RUNNERS {
            self.start_runner();
        }
    }

    /// Number of requests with the crashing part that reached runners after this time.
    fn arrivals_after(&self, at: Instant) -> usize {
        let running = self.runners.iter().flat_map(crashing_arrivals);
        self.arrivals.iter().copied().chain(running).filter(|arrival| *arrival > at).count()
    }
}

fn crashing_arrivals(runner: &FleetRunner) -> Vec<Instant> {
    let is_crashing = |parts: &String| parts.split(',').any(|part| part.starts_with(CRASHING_PART));
    let runs = runner.runs().into_iter();
    runs.filter(|run| run.headers.get(PARTS).is_some_and(is_crashing))
        .map(|run| run.arrived_at)
        .collect()
}

/// A caller's request without the crashing part.
struct SoundCall {
    sent_at: Instant,
    served: bool,
}

/// Sends requests with the crashing part, no two alike, or sound ones that share their
/// caller and their other parts.
async fn send_requests(host: Rc<Daemon>, name: String, calls: Option<Rc<RefCell<Vec<SoundCall>>>>) {
    for number in 0.. {
        let second = if calls.is_some() { "5e" } else { CRASHING_PART };
        let parts = format!("a1:60,b{}:300,{second}:200,{number:x}:90", number % 2);
        let (id, sent_at) = (format!("{name}-{number}"), Instant::now());
        let headers = [(KEY, DESK_KEY), (PARTS, &*parts)];
        let response = call_with(&host, &id, "/report/", &headers, "question").await;
        let served = response.status == 200 && response.body == Some(events(EVENTS));
        if let Some(calls) = &calls {
            calls.borrow_mut().push(SoundCall { sent_at, served });
        }
        sleep(CALLER_PAUSE).await;
    }
}

#[actix_rt::test]
async fn prompts_with_a_part_that_crashes_runners_stop_reaching_them() {
    let mut fleet = CrashingFleet::new();
    let hosts =
        [Rc::new(fleet.fleet.start_host("h1").await), Rc::new(fleet.fleet.start_host("h2").await)];
    let calls = Rc::new(RefCell::new(Vec::new()));
    let mut callers = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        let (crashing, sound) = (format!("crashing-{number}"), format!("sound-{number}"));
        callers.push(actix_rt::spawn(send_requests(host.clone(), crashing, None)));
        callers.push(actix_rt::spawn(send_requests(host.clone(), sound, Some(calls.clone()))));
    }
    let started_at = Instant::now();
    let is_over = |fleet: &CrashingFleet| match fleet.crashes.get(KNOWN_CRASHES - 1) {
        Some(fifth) => fifth.elapsed() > 3 * CONTACT_TIME,
        None => started_at.elapsed() > MAX_CRASH_TIME,
    };
    while !is_over(&fleet) {
        fleet.replace_crashed().await;
        sleep(Duration::from_millis(5)).await;
    }
    callers.iter().for_each(|caller| caller.abort());
    let last_crash = *fleet.crashes.iter().take(KNOWN_CRASHES).next_back().unwrap();
    let arrivals = fleet.arrivals_after(last_crash + CONTACT_TIME);
    assert!(arrivals <= ALLOWED_ARRIVALS, "{arrivals} of {} crashes", fleet.crashes.len());
    let calls = calls.borrow();
    let after = calls.iter().filter(|call| call.sent_at > last_crash + 2 * CONTACT_TIME);
    let (served, lost): (Vec<_>, Vec<_>) = after.partition(|call| call.served);
    assert!(served.len() > 20 && lost.is_empty(), "{} served, {} lost", served.len(), lost.len());
}

/// Sends one request whose prompt has this part.
async fn call_with_part(host: &Daemon, id: &str, part: &str) -> (u16, String) {
    let parts = format!("a1:60,{part}:200,1:90");
    let headers = [(KEY, DESK_KEY), (PARTS, &*parts)];
    let response = call_with(host, id, "/report/", &headers, "question").await;
    (response.status, response.reason())
}

#[actix_rt::test]
async fn a_quarantine_in_the_store_holds_for_hosts_that_start_until_operators_lift_it() {
    let fleet = FleetHarness::new();
    let runner = fleet.start_version("dala", "e1", "v1", RunnerMode::Stream(EVENTS));
    let item = r#"{"runs":[{"name":"e0","born_ms":null}]}"#;
    fleet.store.put("comfreyway/quarantine/bad0", item.as_bytes());
    let host = fleet.start_host("h1").await;
    let refused = (503, "prompt-quarantined".to_owned());
    assert_eq!(call_with_part(&host, "id-1", "bad0").await, refused);
    assert_eq!(runner.arrivals(), 0);
    assert_eq!(call_with_part(&host, "id-2", "5e").await, (200, String::new()));

    fleet.store.delete("comfreyway/quarantine/bad0");
    let is_back = || async {
        let keys = fleet.store.keys();
        keys.with_store(|keys, now| keys.get("comfreyway/quarantine/bad0", now))
    };
    eventually(is_back).await.expect("the host writes the item again");
    assert_eq!(call_with_part(&host, "id-3", "bad0").await, refused);

    fleet.store.put("comfreyway/quarantine/bad0", br#"{"allowed":true}"#);
    let is_allowed = || async {
        let answer = call_with_part(&host, "id-4", "bad0").await;
        (answer.0 == 200).then_some(())
    };
    eventually(is_allowed).await.expect("the part is allowed again");
}

//! Requests that crash each runner that begins them, and come again at any host.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use comfreyway_core::fleet::{RequestContent, RequestDigest};
use comfreyway_testkit::{daemon::eventually, fleet_runner::RunnerMode};

use crate::support::Daemon;

use super::{
    crashing_fleet::{
        ALLOWED_ARRIVALS, CONTACT_TIME, CrashTrigger, CrashingFleet, RunnerSet, SoundCall,
        served_after,
    },
    harness::{DEADLINE, DESK_KEY, FleetHarness, KEY, call_with},
};

/// The body that crashes runners.
const CRASHING_BODY: &str = "poison";

/// Crashes of which the users know, before they count what still reaches runners.
const KNOWN_CRASHES: usize = 3;

const SERVICE: RunnerSet = RunnerSet {
    upstream: "survey",
    size: 3,
    mode: RunnerMode::Whole,
    work_time: Duration::from_millis(30),
    trigger: CrashTrigger::Body(CRASHING_BODY),
};

/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(40);

/// Sends the same request again and again, as polls and repeats do.
async fn repeat(
    host: Rc<Daemon>,
    name: String,
    body: &'static str,
    calls: Rc<RefCell<Vec<SoundCall>>>,
) {
    for number in 0.. {
        let (id, sent_at) = (format!("{name}-{number}"), Instant::now());
        let response = call_with(&host, &id, "/lookup/7", &[(KEY, DESK_KEY)], body).await;
        let served = response.status == 200 && response.body.is_some();
        calls.borrow_mut().push(SoundCall { sent_at, served });
        sleep(CALLER_PAUSE).await;
    }
}

#[actix_rt::test]
async fn a_request_that_crashes_runners_stops_reaching_them_when_it_is_repeated() {
    let mut fleet = CrashingFleet::new(SERVICE);
    let hosts =
        [Rc::new(fleet.fleet.start_host("h1").await), Rc::new(fleet.fleet.start_host("h2").await)];
    let (crashing, sound) = (Rc::new(RefCell::new(Vec::new())), Rc::new(RefCell::new(Vec::new())));
    let mut callers = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        let mut start = |name, body, calls: &Rc<RefCell<Vec<SoundCall>>>| {
            let caller = repeat(host.clone(), format!("{name}-{number}"), body, calls.clone());
            callers.push(actix_rt::spawn(caller));
        };
        start("crashing", CRASHING_BODY, &crashing);
        start("poll", "", &sound);
        start("other-poll", "", &sound);
        start("question", "question", &sound);
    }
    fleet.run(KNOWN_CRASHES, 3 * CONTACT_TIME).await;
    callers.iter().for_each(|caller| caller.abort());

    let known = fleet.known_crash(KNOWN_CRASHES);
    let arrivals = fleet.arrivals_after(known + CONTACT_TIME);
    assert!(arrivals <= ALLOWED_ARRIVALS, "{arrivals} arrivals, {} crashes", fleet.crashes.len());
    let (served, lost) = served_after(&sound.borrow(), known + 2 * CONTACT_TIME);
    assert!(served > 100 && lost == 0, "{served} served, {lost} lost");
}

#[actix_rt::test]
async fn a_quarantined_request_is_refused_whatever_its_other_headers_until_operators_lift_it() {
    let workspace = "desk".parse().unwrap();
    let digest = RequestDigest::new(&RequestContent {
        workspace: Some(&workspace),
        method: "POST",
        host: "desk.example",
        target: "/lookup/7",
        body: CRASHING_BODY.as_bytes(),
    });
    let fleet = FleetHarness::new().with_runner("survey", "e1", RunnerMode::Whole);
    let key = format!("comfreyway/quarantine/request-{digest}");
    fleet.store.put(&key, br#"{"runs":[{"name":"e0","born_ms":null}]}"#);
    let host = fleet.start_host("h1").await;

    let refused = (503, "request-quarantined".to_owned());
    let call = async |id: &str, path: &str, header: (&str, &str), body: &str| {
        let headers = [(KEY, DESK_KEY), header];
        let response = call_with(&host, id, path, &headers, body).await;
        (response.status, response.reason())
    };
    let deadline = (DEADLINE, "2000");
    assert_eq!(call("id-1", "/lookup/7", deadline, CRASHING_BODY).await, refused);
    assert_eq!(call("id-2", "/lookup/7", ("x-other", "1"), CRASHING_BODY).await, refused);
    assert_eq!(fleet.runners[0].arrivals(), 0);
    let answered = (200, String::new());
    assert_eq!(call("id-3", "/lookup/8", deadline, CRASHING_BODY).await, answered);
    assert_eq!(call("id-4", "/lookup/7", deadline, "question").await, answered);

    fleet.store.put(&key, br#"{"allowed":true}"#);
    let is_allowed = || async {
        let answer = call("id-5", "/lookup/7", deadline, CRASHING_BODY).await;
        (answer == answered).then_some(())
    };
    eventually(is_allowed).await.expect("the request is allowed again");
}

//! Prompts with a part that crashes each runner that begins to respond to them.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::{net::TcpStream, time::sleep};
use comfreyway_testkit::{daemon::eventually, fleet_runner::RunnerMode};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::support::Daemon;

use super::{
    crashing_fleet::{
        ALLOWED_ARRIVALS, CONTACT_TIME, CrashTrigger, CrashingFleet, RunnerSet, SoundCall,
        served_after,
    },
    harness::{DESK_KEY, FleetHarness, ID, KEY, PARTS, call_with, events},
};

/// How prompts are made of parts.
#[derive(Clone, Copy, Debug)]
enum Prompts {
    /// Of four parts, the crashing one third.
    Short,
    /// Of this many parts, of which two follow the crashing one.
    Long(u32),
    /// As short ones, with IDs of 32 digits that differ in the middle.
    LongIds,
}

impl Prompts {
    /// Returns the part that crashes runners, and the one in its place in sound prompts.
    fn parts(self) -> (&'static str, &'static str) {
        match self {
            Self::Short | Self::Long(_) => ("bad0", "5e"),
            Self::LongIds => {
                ("5e5e5e5e5e5e5e5ebad0bad0bad0bad0", "5e5e5e5e5e5e5e5e0000bad0bad0bad0")
            }
        }
    }

    /// Returns the parts of a prompt, of which only the last belongs to it alone.
    fn header(self, part: &str, number: u32) -> String {
        let caller = number % 2;
        match self {
            Self::Short | Self::LongIds => {
                format!("a1:60,b{caller}:300,{part}:200,{number:x}:90")
            }
            Self::Long(parts) => {
                let shared = (3..parts).map(|shared| format!("c{shared:x}:9,")).collect::<String>();
                format!("{shared}{part}:200,b{caller}:300,{number:x}:90")
            }
        }
    }
}

/// Number of events of a whole stream.
const EVENTS: u64 = 6;

/// Crashes of which the users know, before they count what still reaches runners.
const KNOWN_CRASHES: usize = 5;

fn engines(crashing_part: &'static str) -> RunnerSet {
    RunnerSet {
        upstream: "dala",
        size: 6,
        mode: RunnerMode::Stream(EVENTS),
        work_time: Duration::ZERO,
        trigger: CrashTrigger::Part(crashing_part),
    }
}

/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(40);

/// Sends requests with the crashing part, no two alike, or sound ones that share their
/// caller and their other parts.
async fn send_requests(
    host: Rc<Daemon>,
    name: String,
    prompts: Prompts,
    calls: Option<Rc<RefCell<Vec<SoundCall>>>>,
) {
    let (crashing, sound) = prompts.parts();
    for number in 0.. {
        let part = if calls.is_some() { sound } else { crashing };
        let parts = prompts.header(part, number);
        let (id, sent_at) = (format!("{name}-{number}"), Instant::now());
        let headers = [(KEY, DESK_KEY), (PARTS, &*parts)];
        let response = call_with(&host, &id, "/report/", &headers, &id).await;
        let served = response.status == 200 && response.body == Some(events(EVENTS));
        if let Some(calls) = &calls {
            calls.borrow_mut().push(SoundCall { sent_at, served });
        }
        sleep(CALLER_PAUSE).await;
    }
}

/// Parts behind the 32nd, and those with an ID of more than 16 digits, were not read, so they
/// went on crashing runners.
#[rstest]
#[case::short(Prompts::Short)]
#[case::many_parts(Prompts::Long(40))]
#[case::longest_header(Prompts::Long(1_800))]
#[case::long_ids(Prompts::LongIds)]
#[actix_rt::test]
async fn prompts_with_a_part_that_crashes_runners_stop_reaching_them(#[case] prompts: Prompts) {
    let mut fleet = CrashingFleet::new(engines(prompts.parts().0));
    let hosts =
        [Rc::new(fleet.fleet.start_host("h1").await), Rc::new(fleet.fleet.start_host("h2").await)];
    let calls = Rc::new(RefCell::new(Vec::new()));
    let mut callers = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        let (crashing, sound) = (format!("crashing-{number}"), format!("sound-{number}"));
        let calls = Some(calls.clone());
        callers.push(actix_rt::spawn(send_requests(host.clone(), crashing, prompts, None)));
        callers.push(actix_rt::spawn(send_requests(host.clone(), sound, prompts, calls)));
    }
    fleet.run(KNOWN_CRASHES, 3 * CONTACT_TIME).await;
    callers.iter().for_each(|caller| caller.abort());
    let known = fleet.known_crash(KNOWN_CRASHES);
    let arrivals = fleet.arrivals_after(known + CONTACT_TIME);
    assert!(arrivals <= ALLOWED_ARRIVALS, "{arrivals} of {} crashes", fleet.crashes.len());
    let (served, lost) = served_after(&calls.borrow(), known + 2 * CONTACT_TIME);
    assert!(served > 20 && lost == 0, "{served} served, {lost} lost");
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
    let copy = fleet.store.copy();
    let item = r#"{"runs":[{"name":"e0","born_ms":null}]}"#;
    fleet.store.put("comfreyway/quarantine/bad0", item.as_bytes());
    let host = fleet.start_host("h1").await;
    let refused = (503, "prompt-quarantined".to_owned());
    assert_eq!(call_with_part(&host, "id-1", "bad0").await, refused);
    assert_eq!(runner.arrivals(), 0);
    assert_eq!(call_with_part(&host, "id-2", "5e").await, (200, String::new()));

    let is_back = || async {
        let keys = fleet.store.keys();
        keys.with_store(|keys, now| keys.get("comfreyway/quarantine/bad0", now))
    };
    fleet.store.delete("comfreyway/quarantine/bad0");
    eventually(is_back).await.expect("the host writes the item again");
    fleet.store.restore(copy);
    eventually(is_back).await.expect("the host writes the item again after an older copy");
    assert_eq!(call_with_part(&host, "id-3", "bad0").await, refused);

    fleet.store.put("comfreyway/quarantine/bad0", br#"{"allowed":true}"#);
    let is_allowed = || async {
        let answer = call_with_part(&host, "id-4", "bad0").await;
        (answer.0 == 200).then_some(())
    };
    eventually(is_allowed).await.expect("the part is allowed again");
}

/// A list may stand in several lines of the head, of which only the first was read, and only if
/// it was ASCII.
#[rstest]
#[case::later_line(&["a1:60", "bad0:200,1:90"])]
#[case::beside_other_bytes(&["a1:60,\u{e9}:2,bad0:200,1:90"])]
#[actix_rt::test]
async fn a_quarantined_part_is_found_in_each_line_of_the_header(#[case] lines: &[&str]) {
    let fleet = FleetHarness::new();
    let runner = fleet.start_version("dala", "e1", "v1", RunnerMode::Stream(EVENTS));
    let item = br#"{"runs":[{"name":"e0","born_ms":null}]}"#;
    fleet.store.put("comfreyway/quarantine/bad0", item);
    let host = fleet.start_host("h1").await;
    let lines: String = lines.iter().map(|line| format!("{PARTS}: {line}\r\n")).collect();
    let head = format!(
        "POST /report/ HTTP/1.1\r\nhost: desk.example\r\n{ID}: raw\r\n{KEY}: {DESK_KEY}\r\n\
         {lines}content-length: 0\r\nconnection: close\r\n\r\n"
    );
    let mut stream = TcpStream::connect(host.settings().callers).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert!(response.contains("prompt-quarantined"), "{response}");
    assert_eq!(runner.arrivals(), 0);
}

//! Hosts that are frozen while a request passes from one to the other.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use actix_rt::time::sleep;
use comfreyway_testkit::daemon::{Signal, eventually};
use futures_util::future::join_all;
use rstest::rstest;

use super::{
    cut_off::{CutOff, ask},
    harness::{FleetHarness, ID},
};

/// Statuses that guarantee that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Time for a request to reach the buffers of a frozen process, and for a continued one to
/// work off what it finds there.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// A runner that begins to listen late, at an address that its hosts know before.
struct LateRunner {
    runs: Arc<Mutex<Vec<String>>>,
}

impl LateRunner {
    /// Starts it. It works this long on each request.
    fn start(address: SocketAddr, work: Duration) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let runs = Arc::<Mutex<Vec<String>>>::default();
        let all = runs.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let runs = all.clone();
                // Hosts close connections at any point.
                thread::spawn(move || drop(run(&runs, stream, work)));
            }
        });
        Self { runs }
    }

    fn runs(&self, id: &str) -> usize {
        self.runs.lock().unwrap().iter().filter(|run| *run == id).count()
    }
}

fn run(runs: &Mutex<Vec<String>>, mut stream: TcpStream, work: Duration) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut head = String::new();
    while reader.read_line(&mut head)? > 2 {}
    head.make_ascii_lowercase();
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(found, _)| *found == name).map(|(_, value)| value.to_owned())
    };
    let Some(id) = header(ID) else { return Ok(()) };
    let length = header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    reader.read_exact(&mut vec![0; length])?;
    runs.lock().unwrap().push(id.clone());
    thread::sleep(work);
    let signature = "x-comfreyway-runner-signature";
    write!(stream, "HTTP/1.1 200 -\r\n{ID}: {id}\r\n{signature}: s\r\ncontent-length: 2\r\n\r\nok")
}

fn start_runners(hosts: &CutOff, work: Duration) -> [LateRunner; 2] {
    hosts.runners.map(|address| LateRunner::start(address, work))
}

fn runs(runners: &[LateRunner], id: &str) -> usize {
    runners.iter().map(|runner| runner.runs(id)).sum()
}

/// What happens while the other host is frozen with a request in its buffers.
#[derive(Clone, Copy, Debug)]
enum While {
    Nothing,
    DeadlinePasses,
    NearStops,
    OtherIsKilled,
}

#[rstest]
#[case::nothing(While::Nothing, 200, 1)]
#[case::deadline_passes(While::DeadlinePasses, 504, 0)]
#[case::near_stops(While::NearStops, 502, 0)]
#[case::other_is_killed(While::OtherIsKilled, 502, 0)]
#[actix_rt::test]
async fn a_request_in_the_buffers_of_a_frozen_host_counts_as_sent(
    #[case] happens: While,
    #[case] status: u16,
    #[case] min_runs: usize,
) {
    let hosts = CutOff::new(FleetHarness::new(), 1).await;
    let other = &hosts.others[0];
    other.signal(Signal::Stop).unwrap();
    let deadline_ms = if matches!(happens, While::DeadlinePasses) { 1_500 } else { 7_000 };
    let answered = ask(&hosts.near, "id-1", deadline_ms);
    let go_on = async {
        hosts.sent("id-1").await;
        match happens {
            While::NearStops => hosts.near.signal(Signal::Terminate).unwrap(),
            While::OtherIsKilled => other.signal(Signal::Kill).unwrap(),
            While::Nothing | While::DeadlinePasses => {}
        }
        let runners = start_runners(&hosts, Duration::ZERO);
        if matches!(happens, While::Nothing) {
            other.signal(Signal::Continue).unwrap();
        }
        runners
    };
    let (response, runners) = futures_util::join!(answered, go_on);
    other.signal(Signal::Continue).unwrap();
    sleep(SETTLE_TIME).await;
    let runs = runs(&runners, "id-1");
    eprintln!("{happens:?}: {} {}, {runs} runs", response.status, response.reason());
    assert_eq!(response.status, status, "{response:?}, {runs} runs");
    assert!(runs <= 1 && runs >= min_runs, "{runs} runs");
}

#[rstest]
#[case::other_is_killed(true)]
#[case::deadline_passes(false)]
#[actix_rt::test]
async fn a_request_that_runs_behind_a_frozen_host_counts_as_sent(#[case] is_killed: bool) {
    let hosts = CutOff::new(FleetHarness::new(), 2).await;
    hosts.others.iter().for_each(|host| host.signal(Signal::Stop).unwrap());
    let answered = ask(&hosts.near, "id-1", 3_000);
    let runs_meanwhile = async {
        hosts.sent("id-1").await;
        let runners = start_runners(&hosts, SETTLE_TIME);
        hosts.others.iter().for_each(|host| host.signal(Signal::Continue).unwrap());
        let running = || async { (runs(&runners, "id-1") > 0).then_some(()) };
        eventually(running).await.expect("the request does not run");
        for host in &hosts.others {
            host.signal(if is_killed { Signal::Kill } else { Signal::Stop }).unwrap();
        }
        runners
    };
    let (response, runners) = futures_util::join!(answered, runs_meanwhile);
    hosts.others.iter().for_each(|host| host.signal(Signal::Continue).unwrap());
    sleep(SETTLE_TIME).await;
    eprintln!("killed {is_killed}: {} {}", response.status, response.reason());
    assert!(!NOT_RUN_STATUSES.contains(&response.status), "{response:?}");
    assert_eq!(runs(&runners, "id-1"), 1, "{response:?}");
}

#[actix_rt::test]
async fn a_host_that_was_frozen_past_the_deadline_does_not_report_a_sent_request_as_not_run() {
    let hosts = CutOff::new(FleetHarness::new(), 1).await;
    let other = &hosts.others[0];
    other.signal(Signal::Stop).unwrap();
    let answered = ask(&hosts.near, "id-1", 2_000);
    let freeze = async {
        hosts.sent("id-1").await;
        hosts.near.signal(Signal::Stop).unwrap();
        let runners = start_runners(&hosts, Duration::ZERO);
        other.signal(Signal::Continue).unwrap();
        let ran = || async { (runs(&runners, "id-1") > 0).then_some(()) };
        eventually(ran).await.expect("the request does not run");
        sleep(2 * SETTLE_TIME).await;
        hosts.near.signal(Signal::Continue).unwrap();
        runners
    };
    let (response, runners) = futures_util::join!(answered, freeze);
    assert!(!NOT_RUN_STATUSES.contains(&response.status), "{response:?}");
    assert_eq!(runs(&runners, "id-1"), 1, "{response:?}");
}

#[actix_rt::test]
async fn requests_that_pass_frozen_and_killed_hosts_run_once_at_most() {
    const REQUESTS: usize = 60;
    let hosts = CutOff::new(FleetHarness::new(), 3).await;
    let ids: Vec<_> = (0..REQUESTS).map(|number| format!("id-{number}")).collect();
    hosts.others[0].signal(Signal::Stop).unwrap();
    let calls = ids.iter().enumerate().map(|(number, id)| {
        let near = &hosts.near;
        async move {
            sleep(Duration::from_millis(20 * number as u64)).await;
            (id, ask(near, id, 5_000).await)
        }
    });
    let faults = async {
        let runners = start_runners(&hosts, Duration::from_millis(150));
        for (host, signal) in [
            (1, Signal::Stop),
            (0, Signal::Continue),
            (2, Signal::Stop),
            (1, Signal::Kill),
            (2, Signal::Continue),
            (0, Signal::Stop),
        ] {
            sleep(Duration::from_millis(170)).await;
            hosts.others[host].signal(signal).unwrap();
        }
        runners
    };
    let (responses, runners) = futures_util::join!(join_all(calls), faults);
    hosts.others[0].signal(Signal::Continue).unwrap();
    sleep(SETTLE_TIME).await;
    let forwarded: usize = ids.iter().map(|id| hosts.forwarded(id)).sum();
    let served = responses.iter().filter(|(_, response)| response.status == 200).count();
    eprintln!("{served} of {REQUESTS} served, {forwarded} forwarded");
    for (id, response) in responses {
        let runs = runs(&runners, id);
        let is_refused = NOT_RUN_STATUSES.contains(&response.status);
        assert!(runs <= 1 && !(is_refused && runs > 0), "{id}: {runs} runs, {response:?}");
    }
}

//! Runners whose response is given up while they still work on the request.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use comfreyway_testkit::{daemon::eventually, fleet_runner::RunnerMode};
use rstest::rstest;

use super::harness::{FleetHarness, ID, call, runner_entry};

const SIGNATURE: &str = "x-comfreyway-runner-signature";

/// A runner that answers with these bytes and works on, in silence, until the connection ends.
struct SilentRunner {
    address: SocketAddr,
    begun: Arc<AtomicUsize>,
    ended: Arc<AtomicUsize>,
}

impl SilentRunner {
    fn start(answer: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (begun, ended) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let counts = (begun.clone(), ended.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (answer, (begun, ended)) = (answer.clone(), counts.clone());
                thread::spawn(move || {
                    // A reset ends the connection too.
                    let _ = work(stream, &answer, &begun);
                    ended.fetch_add(1, Ordering::Relaxed);
                });
            }
        });
        Self { address, begun, ended }
    }
}

fn work(mut stream: TcpStream, answer: &str, begun: &AtomicUsize) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut head = String::new();
    while reader.read_line(&mut head)? > 2 {}
    reader.read_exact(&mut vec![0; "question".len()])?;
    begun.fetch_add(1, Ordering::Relaxed);
    stream.write_all(answer.as_bytes())?;
    reader.read_to_end(&mut Vec::new()).map(drop)
}

fn head(id: &str, signature: &str) -> String {
    format!(
        "HTTP/1.1 200 -\r\n{ID}: {id}\r\n{signature}content-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    )
}

fn signed() -> String {
    head("id-1", &format!("{SIGNATURE}: r1\r\n"))
}

const EVENT: &str = "id: 1\ndata: e1\n\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Two runners must not work on one request.
#[rstest]
#[case::no_signature(head("id-1", ""))]
#[case::other_request(head("id-2", &format!("{SIGNATURE}: r1\r\n")))]
#[case::broken_before_an_event(signed() + "zz\r\n")]
#[case::broken_after_an_event(signed() + &chunk(EVENT) + "zz\r\n")]
#[case::broken_inside_an_event(signed() + &chunk(EVENT) + &chunk("id: 2\nda") + "zz\r\n")]
#[actix_rt::test]
async fn a_runner_is_left_before_another_one_goes_on(#[case] answer: String) {
    let fleet = FleetHarness::new();
    let silent = SilentRunner::start(answer);
    let entry = runner_entry(silent.address, "dala", "ready");
    fleet.store.put("servers/r1", entry.to_string().as_bytes());
    let host = fleet.start_host("h1").await;
    let second = async {
        let begun = || async { (silent.begun.load(Ordering::Relaxed) == 1).then_some(()) };
        eventually(begun).await.expect("the first runner gets no request");
        let fleet = fleet.with_runner("dala", "r2", RunnerMode::Stream(3));
        let runner = &fleet.runners[0];
        runner.gate().close();
        let ended = || async { (silent.ended.load(Ordering::Relaxed) > 0).then_some(()) };
        eventually(ended).await.expect("the first runner's connection does not end");
        runner.gate().open();
        fleet
    };
    let (response, _fleet) = futures_util::join!(call(&host, "id-1", "/report/"), second);
    eprintln!("{} {:?}", response.status, response.body);
    assert_eq!(silent.begun.load(Ordering::Relaxed), 1, "{response:?}");
}

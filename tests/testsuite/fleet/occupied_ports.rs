//! Ports of a host that other sockets of its machine have when it starts.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

use comfreyway_testkit::{
    daemon::{DaemonSettings, Signal, eventually},
    fleet_runner::RunnerMode,
};
use rstest::rstest;
use socket2::{Domain, Socket, Type};

use crate::support::Daemon;

use super::harness::{FleetHarness, call, runner_entry};

/// Time in which a host that gives up has ended.
const START_TIME: Duration = Duration::from_millis(600);

#[rstest]
#[case::callers(|settings: &DaemonSettings| settings.callers)]
#[case::peers(|settings: &DaemonSettings| settings.peers)]
#[case::operators(|settings: &DaemonSettings| settings.operators)]
#[case::forward(|settings: &DaemonSettings| settings.forward)]
#[actix_rt::test]
async fn a_host_whose_port_is_taken_when_it_starts_serves_once_the_port_is_free(
    #[case] port: fn(&DaemonSettings) -> SocketAddr,
) {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let settings = fleet.settings("h1");
    let former = TcpListener::bind(port(&settings)).unwrap();
    let mut host = Daemon::start(settings);
    actix_rt::time::sleep(START_TIME).await;
    assert!(!host.has_exited(), "the host has ended");
    assert!(!host.is_ready().await, "the host is ready without all of its ports");
    drop(former);
    host.ready().await.unwrap();
    assert_eq!(call(&host, "id-1", "/lookup/").await.status, 200);
}

#[actix_rt::test]
async fn a_host_serves_once_another_connection_has_left_its_port() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let settings = fleet.settings("h1");
    let listener = TcpListener::bind((settings.callers.ip(), 0)).unwrap();
    let outgoing = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    outgoing.bind(&settings.callers.into()).unwrap();
    outgoing.connect(&listener.local_addr().unwrap().into()).unwrap();
    let (accepted, _) = listener.accept().unwrap();
    let mut host = Daemon::start(settings);
    actix_rt::time::sleep(START_TIME).await;
    assert!(!host.has_exited(), "the host has ended");
    // The side that closes first keeps the port for a minute.
    drop(accepted);
    drop(TcpStream::from(outgoing));
    host.ready().await.unwrap();
    assert_eq!(call(&host, "id-1", "/lookup/").await.status, 200);
}

#[actix_rt::test]
async fn a_host_that_waits_for_its_port_is_not_ended_by_a_reload_signal() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let settings = fleet.settings("h1");
    let former = TcpListener::bind(settings.callers).unwrap();
    let mut host = Daemon::start(settings);
    let waits = || async { host.log().contains("CF0106").then_some(()) };
    eventually(waits).await.expect("the host does not wait");
    host.signal(Signal::Hangup).unwrap();
    drop(former);
    host.ready().await.unwrap();
    assert_eq!(call(&host, "id-1", "/lookup/").await.status, 200);
}

/// A machine that has just started may get its addresses later.
#[actix_rt::test]
async fn a_host_waits_for_an_address_that_its_machine_does_not_have_yet() {
    let fleet = FleetHarness::new();
    let mut settings = fleet.settings("h1");
    // Reserved for documentation, so no machine has it.
    settings.peers.set_ip([192, 0, 2, 1].into());
    let mut host = Daemon::start(settings);
    let waits = || async { host.log().contains("CF0106").then_some(()) };
    eventually(waits).await.expect("the host does not wait");
    assert!(!host.has_exited() && !host.is_ready().await);
}

#[actix_rt::test]
async fn a_connection_of_a_host_to_a_runner_keeps_its_port_from_no_listener() {
    let fleet = FleetHarness::new();
    let runner = TcpListener::bind("127.0.0.1:0").unwrap();
    let entry = runner_entry(runner.local_addr().unwrap(), "survey", "ready");
    fleet.store.put("servers/r1", entry.to_string().as_bytes());
    let host = fleet.start_host("h1").await;
    let accepting = std::thread::spawn(move || runner.accept().unwrap());
    let calling = call(&host, "id-1", "/lookup/count/");
    let accepted = async {
        let accepted = || async { accepting.is_finished().then_some(()) };
        eventually(accepted).await.expect("the host did not connect to the runner");
        let (stream, port) = accepting.join().unwrap();
        let bound = TcpListener::bind(port);
        drop(stream);
        bound
    };
    let (_, bound) = futures_util::join!(calling, accepted);
    assert!(bound.is_ok(), "{bound:?}");
}

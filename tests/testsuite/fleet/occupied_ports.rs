//! Ports of a host that other sockets of its machine have when it starts.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

use comfreyway_testkit::{daemon::DaemonSettings, fleet_runner::RunnerMode};
use rstest::rstest;
use socket2::{Domain, Socket, Type};

use crate::support::Daemon;

use super::harness::{FleetHarness, call};

/// Time in which a host that gives up has ended.
const START_TIME: Duration = Duration::from_millis(600);

#[rstest]
#[case::callers(|settings: &DaemonSettings| settings.callers)]
#[case::peers(|settings: &DaemonSettings| settings.peers)]
#[case::operators(|settings: &DaemonSettings| settings.operators)]
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

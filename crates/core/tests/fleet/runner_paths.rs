//! Paths of one host to the runners of several upstreams.

use std::net::SocketAddr;

use comfreyway_core::{
    fleet::{RunnerPath, RunnerPaths},
    ids::UpstreamName,
};

use crate::support::{at, host};

fn runner(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn upstreams() -> [UpstreamName; 2] {
    ["dala", "survey"].map(|name| name.parse().unwrap())
}

/// Returns paths of a host that has lost two runners of the first upstream while the
/// second one responds.
fn paths_without_first_upstream() -> RunnerPaths {
    let [dala, survey] = upstreams();
    let mut paths = RunnerPaths::default();
    paths.responded(at(900), &dala);
    paths.connect_failed(at(1_000), &dala, runner(1));
    paths.connect_failed(at(1_000), &dala, runner(2));
    paths.responded(at(1_100), &survey);
    paths
}

#[test]
fn a_host_that_reaches_one_upstream_does_not_speak_for_runners_of_another() {
    let [dala, survey] = upstreams();
    let paths = paths_without_first_upstream();
    assert!(paths.is_cut_off_from(&dala) && !paths.reaches(at(1_200), &dala));
    assert!(!paths.is_cut_off_from(&survey) && paths.reaches(at(1_200), &survey));
}

#[test]
fn only_the_lost_upstream_is_used_through_another_host() {
    let [dala, survey] = upstreams();
    let mut paths = paths_without_first_upstream();
    assert_eq!(paths.path(at(1_200), &dala, runner(3)), RunnerPath::ThroughHost);
    let path = paths.path(at(1_200), &survey, runner(9));
    assert!(matches!(path, RunnerPath::Direct { .. }), "{path:?}");
    let probed = paths.due_probes(at(1_200));
    assert_eq!(probed, [(dala.clone(), runner(3))], "a runner that is only suspected is probed");
    paths.connected(at(1_250), &dala, runner(3));
    let path = paths.path(at(1_300), &dala, runner(3));
    assert!(matches!(path, RunnerPath::Direct { .. }), "{path:?}");
}

#[test]
fn a_host_that_could_not_forward_to_one_upstream_is_asked_for_another() {
    let [dala, survey] = upstreams();
    let mut paths = RunnerPaths::default();
    let hosts = [host("h1")];
    paths.host_failed(at(1_000), &dala, &hosts[0]);
    assert_eq!(paths.next_host(at(1_500), &dala, &hosts, &[]), None);
    assert_eq!(paths.next_host(at(1_500), &survey, &hosts, &[]), Some(&hosts[0]));
    assert_eq!(paths.next_host(at(2_500), &dala, &hosts, &[]), Some(&hosts[0]));
}

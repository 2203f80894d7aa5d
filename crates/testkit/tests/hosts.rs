//! The host list over HTTP.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use comfreyway_platform::{HostList, HostState, HttpHostList, ListedHost};
use comfreyway_testkit::hosts::HostListStandIn;

const LIMIT: Duration = Duration::from_secs(5);

fn host(name: &str) -> ListedHost {
    ListedHost {
        name: name.parse().unwrap(),
        address: "127.0.0.1:7000".parse().unwrap(),
        data_centre: "medeu".parse().unwrap(),
        state: HostState::Live,
    }
}

#[actix_rt::test]
async fn list_is_read_over_http_and_changes_show() {
    let standin = HostListStandIn::start(vec![host("a"), host("b")], Duration::ZERO).unwrap();
    let list = HttpHostList::new(vec![standin.address()], LIMIT);
    assert_eq!(list.hosts().await, Ok(vec![host("a"), host("b")]));
    standin.set_state("b", HostState::Leaving);
    let leaving = ListedHost { state: HostState::Leaving, ..host("b") };
    assert_eq!(list.hosts().await, Ok(vec![host("a"), leaving]));
    assert_eq!(standin.calls(), 2);
}

#[actix_rt::test]
async fn changes_within_the_lag_do_not_show() {
    let standin = HostListStandIn::start(vec![host("a")], Duration::from_secs(3600)).unwrap();
    let list = HttpHostList::new(vec![standin.address()], LIMIT);
    standin.set(Vec::new());
    assert_eq!(list.hosts().await, Ok(vec![host("a")]));
}

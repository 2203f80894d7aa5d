//! Counting the hosts that may be serving.

use std::time::Duration;

use comfreyway_core::fleet::FleetHosts;

use crate::support::{at, host};

const MEMORY: Duration = Duration::from_secs(4);

/// A host that asks a client of its former coordinator receives a lower number.
#[test]
fn a_lower_report_does_not_hide_hosts_that_may_be_serving() {
    let mut hosts = FleetHosts::new(MEMORY);
    hosts.set_reported(at(0), 9);
    hosts.set_reported(at(1_000), 6);
    assert_eq!(hosts.known(at(4_000)), 9);
    hosts.set_reported(at(4_001), 6);
    assert_eq!(hosts.known(at(4_001)), 6);
}

/// A restarted process connects before the session of the former one has ended.
#[test]
fn a_host_with_two_sessions_counts_once_until_both_end() {
    let mut hosts = FleetHosts::new(MEMORY);
    let name = host("h1").name;
    hosts.session_opened(at(0), &name);
    hosts.session_opened(at(1), &name);
    hosts.session_closed(at(2), &name);
    assert_eq!((hosts.present(), hosts.known(at(9_000))), (1, 1));
    hosts.session_closed(at(9_000), &name);
    assert_eq!((hosts.present(), hosts.known(at(9_001))), (0, 1));
}

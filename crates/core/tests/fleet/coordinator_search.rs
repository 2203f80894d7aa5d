//! The search for a coordinator beside older hosts that don't respond.

use std::{collections::BTreeMap, ops::Range, time::Duration};

use comfreyway_core::{
    fleet::{CoordinatorSearch, Member},
    ids::HostId,
};
use rstest::rstest;

use crate::support::{at, host};

/// Half of the users' time for recovery; hosts need the rest to start and to read the store.
const MAX_SEARCH_MS: u64 = 12_000 / 2;

const CHECK_INTERVAL_MS: u64 = 100;

/// Time after which an attempt to connect, and one to find out whether a host responds, end.
const CONNECT_TIMEOUT_MS: u64 = 600;
const PROBE_TIMEOUT_MS: u64 = 500;

/// Hosts that serve.
const LIVING: usize = 4;

fn member(number: usize) -> Member {
    Member {
        id: HostId { incarnation: number as u64, ..host(&format!("h{number}")) },
        address: "127.0.0.1:1".parse().unwrap(),
        token: 0,
        millicores: 1_000,
        forward: None,
    }
}

/// What a host tries, and when it started that.
struct Searcher {
    me: usize,
    members: Vec<Member>,
    search: CoordinatorSearch,
    current: Option<(usize, u64)>,
    probes: BTreeMap<usize, u64>,
}

impl Searcher {
    fn new(me: usize, hosts: usize) -> Self {
        let members = (0..hosts).map(member).collect();
        let search = CoordinatorSearch::default();
        Self { me, members, search, current: None, probes: BTreeMap::new() }
    }

    /// Goes on to this time while some hosts don't respond. Returns the host to which it is
    /// connected.
    fn step(&mut self, now_ms: u64, silent: &Range<usize>) -> Option<usize> {
        let now = at(now_ms);
        for (number, since) in std::mem::take(&mut self.probes) {
            if !silent.contains(&number) {
                self.search.host_responded(&self.members[number].id);
            } else if now_ms >= since + PROBE_TIMEOUT_MS {
                self.search.host_silent(now, self.members[number].id.clone());
            } else {
                self.probes.insert(number, since);
            }
        }
        if let Some((number, since)) = self.current {
            if !silent.contains(&number) {
                self.search.coordinator_found();
                return Some(number);
            }
            if now_ms >= since + CONNECT_TIMEOUT_MS {
                self.current = None;
                self.search.host_silent(now, self.members[number].id.clone());
            }
        }
        let others = self.members.iter().filter(|member| member.id != self.members[self.me].id);
        let tried = self.search.next_attempt(now, others, Some(&self.members[self.me]));
        let mut tried = tried.iter().map(|member| member.id.incarnation as usize);
        let elected = tried.next();
        if elected != self.current.map(|(number, _)| number) {
            self.current = elected.map(|number| (number, now_ms));
            self.probes.extend(tried.map(|number| (number, now_ms)));
        }
        None
    }

    /// Returns the host to which it is connected within the maximum time.
    fn find(&mut self, start_ms: u64, silent: &Range<usize>) -> Option<usize> {
        let mut times = (start_ms..start_ms + MAX_SEARCH_MS).step_by(CHECK_INTERVAL_MS as usize);
        times.find_map(|now_ms| self.step(now_ms, silent))
    }
}

/// Hosts tried the first silent one again before they came to one that responds.
#[rstest]
fn the_oldest_host_that_responds_is_found_beside_silent_ones(
    #[values(0, 3, 4, 6, 24)] silent: usize,
) {
    for me in silent + 1..silent + LIVING {
        let mut searcher = Searcher::new(me, silent + LIVING);
        assert_eq!(searcher.find(0, &(0..silent)), Some(silent), "h{me}");
    }
    // The oldest itself goes on alone.
    assert_eq!(Searcher::new(silent, silent + LIVING).find(0, &(0..silent)), None);
}

#[rstest]
fn a_host_that_was_silent_is_found_once_it_responds(
    #[values(0, 3, 4, 6, 24)] silent: usize,
    #[values(700, 5_000, 30_000)] silence_ms: u64,
) {
    let hosts = silent + 2;
    let mut searcher = Searcher::new(hosts - 1, hosts);
    for now_ms in (0..silence_ms).step_by(CHECK_INTERVAL_MS as usize) {
        assert_eq!(searcher.step(now_ms, &(0..hosts - 1)), None);
    }
    assert_eq!(searcher.find(silence_ms, &(0..silent)), Some(silent));
}

#[test]
fn a_host_that_comes_back_is_not_taken_for_the_one_that_was_silent() {
    let (old, other, me) = (member(1), member(2), member(3));
    let mut search = CoordinatorSearch::default();
    search.host_silent(at(0), old.id.clone());
    let back = Member { id: HostId { incarnation: 0, ..old.id.clone() }, ..old };
    assert_eq!(search.next_attempt(at(1), [&back, &other], Some(&me)), [&back]);
}

#[test]
fn a_host_whose_session_failed_is_elected_again_after_a_pause() {
    let (first, second, me) = (member(0), member(1), member(2));
    let mut search = CoordinatorSearch::default();
    search.session_failed(at(0), first.id.clone());
    assert_eq!(search.next_attempt(at(1_000), [&first, &second], Some(&me)), [&second]);
    let later = at(0) + Duration::from_secs(2);
    assert_eq!(search.next_attempt(later, [&first, &second], Some(&me)), [&first]);
}

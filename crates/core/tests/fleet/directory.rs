//! State of each runner, derived from its entries in the store.

use std::time::Duration;

use comfreyway_core::{
    fleet::{RunnerChange, RunnerDirectory, RunnerKey, RunnerNotice},
    outcome::RetryReason,
};

use crate::support::{at, entry, name};

fn put(
    directory: &mut RunnerDirectory,
    runner: &str,
    started_ms: u64,
    leaving: bool,
) -> Vec<RunnerChange> {
    let mut out = Vec::new();
    directory.put(entry(runner, started_ms, leaving), &mut out);
    out
}

fn remove(directory: &mut RunnerDirectory, ms: u64, runner: &str) -> Vec<RunnerChange> {
    let mut out = Vec::new();
    directory.remove(at(ms), &name(runner), &mut out);
    out
}

#[test]
fn leaving_run_never_becomes_usable_again() {
    let mut directory = RunnerDirectory::default();
    put(&mut directory, "a", 1, false);
    put(&mut directory, "a", 1, true);
    assert!(put(&mut directory, "a", 1, false).is_empty());
    assert!(directory.usable(&name("a")).is_none());
}

#[test]
fn new_run_under_the_same_name_replaces_the_old_one() {
    let mut directory = RunnerDirectory::default();
    put(&mut directory, "a", 1, true);
    let changes = put(&mut directory, "a", 2, false);
    assert!(
        matches!(changes[..], [RunnerChange::Removed(_), RunnerChange::Usable(_)]),
        "{changes:?}"
    );
    assert!(directory.usable(&name("a")).is_some());
}

#[test]
fn runner_is_removed_at_once_without_a_store_outage() {
    let mut directory = RunnerDirectory::default();
    put(&mut directory, "a", 1, false);
    assert!(matches!(remove(&mut directory, 1, "a")[..], [RunnerChange::Removed(_)]));
}

#[test]
fn entry_that_expired_in_a_store_outage_may_be_listed_again_within_two_seconds() {
    let mut directory = RunnerDirectory::default();
    put(&mut directory, "a", 1, false);
    put(&mut directory, "b", 1, false);
    directory.store_recovered(at(10_000));
    assert!(remove(&mut directory, 10_001, "a").is_empty());
    assert!(remove(&mut directory, 10_001, "b").is_empty());
    assert!(directory.usable(&name("a")).is_some());
    put(&mut directory, "a", 1, false);
    let mut out = Vec::new();
    directory.tick(at(12_000), &mut out);
    assert!(out.is_empty());
    directory.tick(at(12_500), &mut out);
    assert!(
        matches!(&out[..], [RunnerChange::Removed(removed)] if removed.key.name == name("b")),
        "{out:?}"
    );
    assert!(directory.usable(&name("a")).is_some());
}

#[test]
fn runner_missing_from_a_listing_is_removed() {
    let mut directory = RunnerDirectory::default();
    let mut out = Vec::new();
    directory.apply_listing(at(0), vec![entry("a", 1, false), entry("b", 1, false)], &mut out);
    out.clear();
    directory.apply_listing(at(1), vec![entry("b", 1, false)], &mut out);
    assert!(matches!(&out[..], [RunnerChange::Removed(removed)] if removed.key.name == name("a")));
}

/// A run also ends when another runner responds at its address. Its entry may
/// still be listed then.
#[test]
fn ended_run_is_never_used_again() {
    let mut directory = RunnerDirectory::default();
    put(&mut directory, "a", 1, false);
    let key = entry("a", 1, false).key;
    let mut out = Vec::new();
    directory.apply_notice(at(1), &RunnerNotice::Ended(key), &mut out);
    assert!(matches!(out[..], [RunnerChange::Removed(_)]));
    assert!(put(&mut directory, "a", 1, false).is_empty(), "a stale entry does not revive the run");
    assert_eq!(put(&mut directory, "a", 2, false).len(), 1);
}

/// A coordinator that does not reach the store may still grant a runner whose
/// removal this host has already read from the store.
#[test]
fn unknown_entry_of_another_host_is_ignored_after_the_first_listing() {
    let (mut directory, mut out) = (RunnerDirectory::default(), Vec::new());
    directory.put_before_listing(entry("a", 1, false), &mut out);
    assert_eq!(out, [RunnerChange::Usable(entry("a", 1, false))]);
    directory.apply_listing(at(0), vec![entry("a", 1, false), entry("b", 1, false)], &mut out);
    directory.remove(at(10), &name("b"), &mut out);
    out.clear();
    directory.put_before_listing(entry("b", 1, false), &mut out);
    assert_eq!((out, directory.usable(&name("b"))), (Vec::new(), None));
}

fn key(runner: &str, started_ms: u64) -> RunnerKey {
    RunnerKey { name: name(runner), started_ms: Some(started_ms) }
}

#[test]
fn run_that_says_it_is_leaving_accepts_nothing_until_it_restarts() {
    let mut directory = RunnerDirectory::default();
    put(&mut directory, "a", 1, false);
    let notice = RunnerNotice::Leaving(key("a", 1));
    let mut out = Vec::new();
    assert!(directory.apply_notice(at(1), &notice, &mut out));
    assert!(matches!(&out[..], [RunnerChange::Leaving(_)]));
    assert!(!directory.apply_notice(at(2), &notice, &mut out), "known already");
    let expected = (RetryReason::RunnerLeaving, Some(notice));
    assert_eq!(directory.dispatchable(at(2), &name("a")).unwrap_err(), expected);
    // Its entry may be removed and listed again.
    put(&mut directory, "a", 1, false);
    remove(&mut directory, 3, "a");
    put(&mut directory, "a", 1, false);
    assert!(directory.dispatchable(at(4), &name("a")).is_err());
    put(&mut directory, "a", 2, false);
    assert!(directory.dispatchable(at(5), &name("a")).is_ok());
}

#[test]
fn notice_of_an_earlier_run_does_not_affect_a_restarted_one() {
    let mut directory = RunnerDirectory::default();
    put(&mut directory, "a", 2, false);
    let mut out = Vec::new();
    directory.apply_notice(at(1), &RunnerNotice::Leaving(key("a", 1)), &mut out);
    directory.apply_notice(at(1), &RunnerNotice::Rest(key("a", 1), Duration::MAX / 2), &mut out);
    assert!(out.is_empty());
    assert!(directory.dispatchable(at(2), &name("a")).is_ok());
}

#[test]
fn resting_runner_gets_nothing_until_the_time_is_over() {
    let mut directory = RunnerDirectory::default();
    put(&mut directory, "a", 1, false);
    for (ms, rest) in [(0, 2_000), (10, 500)] {
        let rest = RunnerNotice::Rest(key("a", 1), Duration::from_millis(rest));
        directory.apply_notice(at(ms), &rest, &mut Vec::new());
    }
    let (reason, notice) = directory.dispatchable(at(1_500), &name("a")).unwrap_err();
    assert_eq!(reason, RetryReason::RunnerResting);
    assert_eq!(notice, Some(RunnerNotice::Rest(key("a", 1), Duration::from_millis(500))));
    assert!(directory.dispatchable(at(2_000), &name("a")).is_ok());
}

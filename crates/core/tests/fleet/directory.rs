//! One opinion on each runner.

use comfreyway_core::fleet::{RunnerChange, RunnerDirectory};

use crate::support::{at, entry, name};

fn put(
    directory: &mut RunnerDirectory,
    runner: &str,
    born: u64,
    leaving: bool,
) -> Vec<RunnerChange> {
    let mut out = Vec::new();
    directory.put(entry(runner, born, leaving), &mut out);
    out
}

fn vanish(directory: &mut RunnerDirectory, ms: u64, runner: &str) -> Vec<RunnerChange> {
    let mut out = Vec::new();
    directory.remove(at(ms), &name(runner), &mut out);
    out
}

#[test]
fn a_run_that_is_leaving_never_comes_back() {
    let mut directory = RunnerDirectory::default();
    put(&mut directory, "a", 1, false);
    put(&mut directory, "a", 1, true);
    assert!(put(&mut directory, "a", 1, false).is_empty());
    assert!(directory.usable(&name("a")).is_none());
}

#[test]
fn a_new_run_under_the_same_name_is_another_runner() {
    let mut directory = RunnerDirectory::default();
    put(&mut directory, "a", 1, true);
    let news = put(&mut directory, "a", 2, false);
    assert!(matches!(news[..], [RunnerChange::Removed(_), RunnerChange::Usable(_)]), "{news:?}");
    assert!(directory.usable(&name("a")).is_some());
}

#[test]
fn a_removed_entry_is_gone_at_once_on_a_calm_day() {
    let mut directory = RunnerDirectory::default();
    put(&mut directory, "a", 1, false);
    assert!(matches!(vanish(&mut directory, 1, "a")[..], [RunnerChange::Removed(_)]));
}

#[test]
fn an_entry_that_lapsed_in_an_outage_has_two_seconds_to_come_back() {
    let mut directory = RunnerDirectory::default();
    put(&mut directory, "a", 1, false);
    put(&mut directory, "b", 1, false);
    directory.store_recovered(at(10_000));
    assert!(vanish(&mut directory, 10_001, "a").is_empty());
    assert!(vanish(&mut directory, 10_001, "b").is_empty());
    assert!(directory.usable(&name("a")).is_some());
    put(&mut directory, "a", 1, false);
    let mut out = Vec::new();
    directory.tick(at(12_000), &mut out);
    assert!(out.is_empty());
    directory.tick(at(12_500), &mut out);
    assert!(
        matches!(&out[..], [RunnerChange::Removed(gone)] if gone.key.name == name("b")),
        "{out:?}"
    );
    assert!(directory.usable(&name("a")).is_some());
}

#[test]
fn a_list_without_a_runner_tells_that_it_is_gone() {
    let mut directory = RunnerDirectory::default();
    let mut out = Vec::new();
    directory.apply_listing(at(0), vec![entry("a", 1, false), entry("b", 1, false)], &mut out);
    out.clear();
    directory.apply_listing(at(1), vec![entry("b", 1, false)], &mut out);
    assert!(matches!(&out[..], [RunnerChange::Removed(gone)] if gone.key.name == name("a")));
}

#[test]
fn an_address_that_another_runner_holds_ends_the_run() {
    let mut directory = RunnerDirectory::default();
    put(&mut directory, "a", 1, false);
    let key = entry("a", 1, false).key;
    let mut out = Vec::new();
    directory.end_run(&key, &mut out);
    assert!(matches!(out[..], [RunnerChange::Removed(_)]));
    assert!(put(&mut directory, "a", 1, false).is_empty(), "a stale entry revives nothing");
    assert_eq!(put(&mut directory, "a", 2, false).len(), 1);
}

/// A coordinator that does not reach the store may still grant a runner whose
/// removal this host has seen.
#[test]
fn a_runner_is_introduced_only_before_all_were_listed() {
    let (mut directory, mut out) = (RunnerDirectory::default(), Vec::new());
    directory.put_before_listing(entry("a", 1, false), &mut out);
    assert_eq!(out, [RunnerChange::Usable(entry("a", 1, false))]);
    directory.apply_listing(at(0), vec![entry("a", 1, false), entry("b", 1, false)], &mut out);
    directory.remove(at(10), &name("b"), &mut out);
    out.clear();
    directory.put_before_listing(entry("b", 1, false), &mut out);
    assert_eq!((out, directory.usable(&name("b"))), (Vec::new(), None));
}

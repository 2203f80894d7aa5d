//! The metrics that the daemon exports and the operators' page agree.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeSet, time::Duration};

use comfreyway_core::outcome::{NotRunReason, RetryReason, UnknownReason};
use comfreyway_node::metrics::Metrics;

const PAGE: &str = include_str!("../../../docs/operators/metrics.md");

/// Metrics after each instrument was used once.
fn used() -> String {
    let metrics = Metrics::new().unwrap();
    let traffic = metrics.traffic();
    traffic.answered(&"ask".parse().unwrap());
    traffic.waited(Duration::from_millis(1));
    traffic.first_byte(Duration::from_millis(1));
    traffic.whole(Duration::from_millis(1));
    traffic.control_queue(Duration::from_millis(1));
    metrics.render().unwrap()
}

#[test]
fn every_metric_is_on_the_page() {
    let text = used();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let exported: BTreeSet<_> = types.filter_map(|line| line.split(' ').next()).collect();
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `"));
    let listed: BTreeSet<_> = rows.filter_map(|row| row.split('`').next()).collect();
    assert_eq!(exported, listed);
}

#[test]
fn every_reason_is_at_zero_from_the_start() {
    let text = Metrics::new().unwrap().render().unwrap();
    let not_run = NotRunReason::ALL.iter().map(|r| ("not_run", r.as_str()));
    let unknown = UnknownReason::ALL.iter().map(|r| ("unknown", r.as_str()));
    let retries = RetryReason::ALL.iter().map(|r| ("retries", r.as_str()));
    for (metric, reason) in not_run.chain(unknown).chain(retries) {
        let line = format!("comfreyway_{metric}_total{{reason=\"{reason}\"}} 0");
        assert!(text.contains(&line), "{line}");
    }
}

//! The metrics that the daemon exports and the operators' page agree.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeSet, time::Duration};

use comfreyway_core::{
    fleet::UpstreamScheduler,
    ids::Tier,
    outcome::{NotRunReason, RetryReason, UnknownReason},
};
use comfreyway_node::metrics::{CallerUsage, Metrics, RequestLabels, RequestTimes};

const PAGE: &str = include_str!("../../../docs/operators/metrics.md");

/// Uses each instrument once and returns the exported metrics.
fn render_after_use() -> String {
    let metrics = Metrics::new().unwrap();
    let traffic = metrics.traffic();
    traffic.answered(&"ask".parse().unwrap());
    traffic.waited(Duration::from_millis(1));
    traffic.first_byte(Duration::from_millis(1));
    traffic.response_time(Duration::from_millis(1));
    traffic.control_queue(Duration::from_millis(1));
    metrics.callers(CallerUsage::default);
    let fleet = metrics.fleet(|| Duration::from_millis(1));
    fleet.store_call("watch", "done");
    let upstream = "dala".parse().unwrap();
    fleet.record_load([(&upstream, &UpstreamScheduler::new(true))].into_iter());
    metrics.render().unwrap()
}

#[test]
fn every_metric_is_on_the_page() {
    let text = render_after_use();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let exported: BTreeSet<_> = types.filter_map(|line| line.split(' ').next()).collect();
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `"));
    let listed: BTreeSet<_> = rows.filter_map(|row| row.split('`').next()).collect();
    assert_eq!(exported, listed);
}

#[test]
fn every_reason_is_exported_as_zero_from_the_start() {
    let text = Metrics::new().unwrap().render().unwrap();
    let not_run = NotRunReason::ALL.iter().map(|r| ("not_run", r.as_str()));
    let unknown = UnknownReason::ALL.iter().map(|r| ("unknown", r.as_str()));
    let retries = RetryReason::ALL.iter().map(|r| ("retries", r.as_str()));
    for (metric, reason) in not_run.chain(unknown).chain(retries) {
        let line = format!("comfreyway_{metric}_total{{reason=\"{reason}\"}} 0");
        assert!(text.contains(&line), "{line}");
    }
}

/// A host that no longer coordinates an upstream reports no load of it.
#[test]
fn only_the_coordinator_of_an_upstream_reports_its_load() {
    let metrics = Metrics::new().unwrap();
    let fleet = metrics.fleet(|| Duration::ZERO);
    let upstream = "dala".parse().unwrap();
    let mut scheduler = UpstreamScheduler::new(true);
    scheduler.set_runner("r1".parse().unwrap(), 4, false);
    fleet.record_load([(&upstream, &scheduler)].into_iter());
    let slots = |metrics: &Metrics| {
        let text = metrics.render().unwrap();
        let line = text.lines().find(|line| line.starts_with("comfreyway_upstream_places{"));
        line.unwrap().rsplit(' ').next().unwrap().to_owned()
    };
    assert_eq!(slots(&metrics), "4");
    fleet.record_load(std::iter::empty());
    assert_eq!(slots(&metrics), "0");
}

/// Times of requests are labelled with class, tier and upstream.
#[test]
fn a_fleets_response_counts_once_in_each_phase() {
    let metrics = Metrics::new().unwrap();
    let fleet = metrics.fleet(|| Duration::ZERO);
    let (class, upstream) = ("report".parse().unwrap(), "dala".parse().unwrap());
    let labels = RequestLabels { class: &class, tier: Tier(2), upstream: &upstream };
    let times = RequestTimes {
        waited: Duration::from_millis(1),
        first_byte: Duration::from_millis(90),
        total: Duration::from_secs(1),
    };
    fleet.answered(labels, times);
    let text = metrics.render().unwrap();
    for phase in ["waiting", "first_byte", "whole_answer"] {
        let labels = r#"{class="report",tier="2",upstream="dala"}"#;
        let line = format!("comfreyway_{phase}_seconds_count{labels} 1");
        assert!(text.contains(&line), "{line} in {text}");
    }
}

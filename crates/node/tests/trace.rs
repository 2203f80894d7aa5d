//! Records of the latest requests: steps, outcomes by class, limits.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use comfreyway_core::{
    ids::{PoolId, RequestId},
    outcome::{NotRunReason, UnknownReason},
    request::Target,
};
use comfreyway_node::trace::{ClassTally, TraceRecord, TraceStep, TraceStore};
use rstest::rstest;

const LONG: Duration = Duration::from_secs(3_600);

fn record(id: u128, target: Duration) -> TraceRecord {
    TraceRecord {
        id: RequestId::new(id),
        workspace: "lab".parse().unwrap(),
        class: "quote".parse().unwrap(),
        target: Target::Whole(target),
        pool: PoolId { upstream: "llm".parse().unwrap(), region: "hobart".parse().unwrap() },
        steps: Vec::new(),
    }
}

#[rstest]
#[case::in_target(TraceStep::Answered, LONG, ClassTally { answered: 1, in_target: 1, ..ClassTally::default() })]
#[case::late(TraceStep::Answered, Duration::ZERO, ClassTally { answered: 1, ..ClassTally::default() })]
#[case::not_run(TraceStep::NotRun(NotRunReason::Shed), LONG, ClassTally { not_run: 1, ..ClassTally::default() })]
#[case::unknown(TraceStep::Unknown(UnknownReason::UpstreamBroke), LONG, ClassTally { unknown: 1, ..ClassTally::default() })]
fn an_outcome_is_counted_once_by_class(
    #[case] outcome: TraceStep,
    #[case] target: Duration,
    #[case] expected: ClassTally,
) {
    let store = Arc::new(TraceStore::default());
    let trace = store.begin(record(1, target));
    trace.step(TraceStep::Dispatched);
    trace.step(outcome.clone());
    assert_eq!(store.tallies()[&"quote".parse().unwrap()], expected);
    let kept = store.get(RequestId::new(1)).unwrap();
    assert_eq!(kept.steps.last().map(|entry| &entry.step), Some(&outcome));
}

#[test]
fn the_oldest_records_are_evicted_and_steps_are_bounded() {
    let store = Arc::new(TraceStore::default());
    let first = store.begin(record(0, LONG));
    for id in 1..=10_000 {
        let trace = store.begin(record(id, LONG));
        if id == 10_000 {
            (0..100).for_each(|_| trace.step(TraceStep::Dispatched));
        }
    }
    first.step(TraceStep::Dispatched);
    assert_eq!(store.get(RequestId::new(0)), None);
    assert_eq!(store.get(RequestId::new(10_000)).unwrap().steps.len(), 32);
}

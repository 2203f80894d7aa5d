//! Tests of the load generator on stand-ins, without a daemon.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use comfreyway_testkit::{
    engine::{EngineSettings, EngineStandIn},
    load::{LoadSpec, Pace, RequestTemplate, run},
    service::ServiceStandIn,
};
use rstest::rstest;

fn spec(request: RequestTemplate, pace: Pace) -> LoadSpec {
    let duration = Duration::from_millis(200);
    LoadSpec { request, pace, threads: 2, warm_up: Duration::ZERO, duration }
}

#[rstest]
#[case::closed(Pace::Closed { callers: 3 }, 3)]
#[case::open(Pace::Open { per_second: 100.0 }, 0)]
#[test]
fn every_response_and_event_is_counted(#[case] pace: Pace, #[case] uncounted: u64) {
    let engine = EngineStandIn::start(EngineSettings::new()).unwrap();
    let result = run(&spec(RequestTemplate::stream(engine.address(), "hello", 5), pace));
    assert!(result.answered > 0);
    assert_eq!(result.failed, 0);
    assert_eq!(result.events, result.answered * 7);
    let runs = engine.log().count() as u64;
    assert!((result.answered..=result.answered + uncounted).contains(&runs));
    assert_eq!(result.total.len(), result.answered);
}

#[test]
fn refused_requests_count_as_failed() {
    let service = ServiceStandIn::start().unwrap();
    service.set_status(awc::http::StatusCode::TOO_MANY_REQUESTS);
    let request = RequestTemplate::plain(service.address(), "/racks/7");
    let result = run(&spec(request, Pace::Closed { callers: 1 }));
    assert!(result.failed > 0);
    assert_eq!(result.answered, 0);
}

//! Records of versions that were written by clocks which were set back since.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_rt::time::sleep;
use comfreyway_testkit::fleet_runner::RunnerMode;
use rstest::rstest;
use serde_json::json;

use super::{
    super::harness::{FleetHarness, configuration},
    EVENTS, RECORD, remaining_events, take_up, wait_for_line,
};

const TIME_LIMIT_MS: u64 = 3_000;

/// Streams may be taken up for twice their time limit, and clocks may differ by 5 s.
const REMEMBERED: Duration = Duration::from_millis(2 * TIME_LIMIT_MS + 5_000);

/// Versions without runners were remembered for as long as the clock had been ahead.
#[rstest]
#[case::right(0)]
#[case::an_hour_ahead(3_600_000)]
#[actix_rt::test]
async fn a_stream_is_taken_up_once_those_of_other_versions_have_expired(#[case] ahead_ms: u64) {
    let fleet = FleetHarness::new();
    let mut short = configuration(2);
    for route in short["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = json!(TIME_LIMIT_MS);
    }
    fleet.put_configuration(short);
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let gone_ms = unix_ms + ahead_ms;
    let record = json!({ "retention_ms": 2 * TIME_LIMIT_MS, "upstreams": { "dala": [
        { "version": "v1", "gone_ms": null },
        { "version": "v0", "gone_ms": gone_ms, "keep_until_ms": gone_ms + 2 * TIME_LIMIT_MS },
    ] } });
    fleet.store.put(RECORD, record.to_string().as_bytes());
    let fleet = fleet.with_runner("dala", "r1", RunnerMode::Stream(EVENTS));
    let host = fleet.start_host("h1").await;
    wait_for_line(&host, "event=CF0521 runner=r1 ").await;
    let early = take_up(&host, "early", "began").await;
    assert_eq!((early.status, early.reason()), (503, "version-unknown".to_owned()));
    sleep(REMEMBERED + Duration::from_secs(1)).await;
    let late = take_up(&host, "late", "began").await;
    assert_eq!((late.status, late.body), (200, Some(remaining_events())));
}

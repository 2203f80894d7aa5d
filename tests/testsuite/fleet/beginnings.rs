//! Prompts whose beginning a runner still holds.

use std::time::Duration;

use comfreyway_testkit::fleet_runner::RunnerMode;
use rstest::rstest;
use serde_json::json;

use super::harness::{DESK_KEY, FleetHarness, KEY, PARTS, USAGE, call_with, configuration};

const EVENTS: u64 = 20;

/// The first runner is slow, so that without its memory the next request goes elsewhere.
#[rstest]
#[case::held(true, 600_000, &["e1", "e1"])]
#[case::routes_do_not_share(false, 600_000, &["e1", "e2"])]
#[case::no_memory(true, 1_000, &["e1", "e2"])]
#[actix_rt::test]
async fn a_prompt_goes_where_its_beginning_is_held(
    #[case] shares: bool,
    #[case] memory: u32,
    #[case] expected: &[&str],
) {
    let runners = runners_of_two_prompts(shares, memory, "5c1e:8000").await;
    assert_eq!(runners, expected);
}

/// A long conversation, most of which is in its later parts: these were not read.
#[actix_rt::test]
async fn a_prompt_of_many_parts_goes_where_its_beginning_is_held() {
    let parts: Vec<_> = (0..40).map(|part| format!("c{part:x}:{}", part / 32 * 1_000)).collect();
    assert_eq!(runners_of_two_prompts(true, 600_000, &parts.join(",")).await, ["e1", "e1"]);
}

/// Sends two requests that share these parts. Returns the runners that responded.
async fn runners_of_two_prompts(shares: bool, memory: u32, shared: &str) -> Vec<String> {
    let fleet = FleetHarness::new()
        .with_runner("dala", "e1", RunnerMode::Stream(EVENTS))
        .with_runner("dala", "e2", RunnerMode::Stream(EVENTS));
    fleet.runners[0].set_work_time(Duration::from_millis(500));
    let mut configuration = configuration(2);
    configuration["routes"][2]["sticky"] = json!(shares);
    configuration["services"][1]["engine"]["kvCapacity"] = json!(memory);
    fleet.put_configuration(configuration);
    let host = fleet.start_host("h1").await;
    let mut runners = Vec::new();
    for number in 0..2 {
        let id = format!("id-{number}");
        let parts = format!("{shared},{number}:100");
        let headers = [(KEY, DESK_KEY), (PARTS, &*parts), (USAGE, "8100,60")];
        let response = call_with(&host, &id, "/tags/", &headers, "question").await;
        assert_eq!(response.status, 200);
        runners.push(response.headers["x-comfreyway-runner-signature"].clone());
    }
    runners
}

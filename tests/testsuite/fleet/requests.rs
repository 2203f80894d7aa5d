//! What runners and callers get of each other.

use comfreyway_testkit::fleet_runner::RunnerMode;
use rstest::rstest;

use super::site::{DEADLINE, DESK_KEY, ID, KEY, Site, USAGE, call, call_with, events};

#[actix_rt::test]
async fn a_request_reaches_its_runner_unchanged_and_its_answer_comes_back() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = site.host("h1").await;
    let headers = [
        (KEY, DESK_KEY),
        (DEADLINE, "5000"),
        ("x-comfreyway-tenant", "forged"),
        ("x-comfreyway-kv-hold", "forged"),
        ("x-other", "kept"),
    ];
    let answer = call_with(&host, "id-1", "/lookup/a%20b?x=%2F", &headers, "body").await;
    assert_eq!((answer.status, answer.body.as_deref()), (200, Some("answer of r1")));
    assert_eq!(answer.headers["x-comfreyway-runner-signature"], "r1");
    assert_eq!(answer.headers[ID], "id-1");
    let run = &site.runners[0].runs()[0];
    assert_eq!((run.target.as_str(), &run.body[..]), ("/lookup/a%20b?x=%2F", &b"body"[..]));
    assert_eq!(run.headers["x-comfreyway-tenant"], "desk");
    assert_eq!(run.headers["x-comfreyway-expect-runner"], "r1");
    assert_eq!(run.headers["x-other"], "kept");
    assert!(!run.headers.contains_key(KEY) && !run.headers.contains_key("x-comfreyway-kv-hold"));
    let left: u64 = run.headers[DEADLINE].parse().unwrap();
    assert!(left < 5_000, "the time on the way is not taken off: {left}");
}

#[rstest]
#[case::unknown_path("/nowhere/", DESK_KEY, 404, "unknown-route")]
#[case::unknown_key("/lookup/", "stolen", 401, "unknown-key")]
#[case::public_route("/open/", "", 200, "")]
#[actix_rt::test]
async fn routes_and_keys_decide(
    #[case] path: &str,
    #[case] key: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = site.host("h1").await;
    let headers = [(KEY, key)];
    let headers = if key.is_empty() { &[][..] } else { &headers[..] };
    let answer = call_with(&host, "id-1", path, headers, "").await;
    assert_eq!((answer.status, answer.reason().as_str()), (status, reason));
    assert_eq!(site.runners[0].runs().len(), usize::from(status == 200));
}

#[actix_rt::test]
async fn a_stream_comes_whole_and_names_its_tokens() {
    let site = Site::new().with_runner("dala", "e1", RunnerMode::Stream(20));
    let host = site.host("h1").await;
    let headers = [(KEY, DESK_KEY), (USAGE, "900,60")];
    let answer = call_with(&host, "id-1", "/tags/", &headers, "prompt").await;
    assert_eq!((answer.status, answer.body), (200, Some(events(20))));
    assert_eq!(site.runners[0].runs()[0].headers[USAGE], "900,60");
}

#[actix_rt::test]
async fn a_body_over_the_limit_is_refused() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = site.host("h1").await;
    let body = "x".repeat(100_001);
    let answer = call_with(&host, "id-1", "/lookup/", &[(KEY, DESK_KEY)], &body).await;
    assert_eq!((answer.status, answer.reason().as_str()), (413, "too-large"));
    assert!(site.runners[0].runs().is_empty());
}

#[actix_rt::test]
async fn requests_of_hosts_that_started_together_are_told_apart() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let hosts = [site.host("h1").await, site.host("h2").await, site.host("h3").await];
    for round in 0..10 {
        for (number, host) in hosts.iter().enumerate() {
            let answer = call(host, &format!("id-{round}-{number}"), "/lookup/").await;
            assert_eq!(answer.status, 200);
        }
    }
    assert_eq!(site.runners[0].runs().len(), 30);
}

//! Runners that come, leave and describe themselves badly.

use comfreyway_testkit::{daemon::eventually, fleet_runner::RunnerMode};

use super::site::{Site, call};

#[actix_rt::test]
async fn a_runner_that_is_draining_or_removed_gets_nothing_new() {
    let site = Site::new()
        .with_runner("survey", "r1", RunnerMode::Whole)
        .with_runner("survey", "r2", RunnerMode::Whole)
        .with_runner("survey", "r3", RunnerMode::Whole);
    let host = site.host("h1").await;
    call(&host, "id-0", "/lookup/").await;
    site.put_runner(&site.runners[0], "survey", "draining");
    site.store.delete("servers/r2");
    let log = || async {
        let log = host.log();
        let known = log.contains("CF0522 runner=r1") && log.contains("CF0523 runner=r2");
        known.then_some(())
    };
    eventually(log).await.expect("the host did not hear of the runners");
    for number in 1..8 {
        let answer = call(&host, &format!("id-{number}"), "/lookup/").await;
        assert_eq!(answer.body.as_deref(), Some("answer of r3"));
    }
}

#[actix_rt::test]
async fn entries_that_cannot_be_read_name_no_runner_and_break_nothing() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    site.store.put("servers/odd-1", b"\xff\xfe");
    site.store.put("servers/odd-2", br#"{"service":"survey","address":7}"#);
    site.store.put(
        "servers/odd-3",
        br#"{"service":"survey","address":"127.0.0.1:1","zone":"z","slots":2,"state":"asleep"}"#,
    );
    site.store.put("servers/", b"{}");
    let host = site.host("h1").await;
    for number in 0..4 {
        let answer = call(&host, &format!("id-{number}"), "/lookup/").await;
        assert_eq!(answer.body.as_deref(), Some("answer of r1"));
    }
}

#[actix_rt::test]
async fn a_history_that_is_gone_is_listed_again() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = site.host("h1").await;
    site.store.put("servers/late", b"{}");
    site.store.delete("servers/late");
    site.store.compact();
    let site = site.with_runner("survey", "r2", RunnerMode::Whole);
    let log = || async { host.log().contains("CF0521 runner=r2").then_some(()) };
    eventually(log).await.expect("the host did not hear of the new runner");
    assert_eq!(site.runners.len(), 2);
}

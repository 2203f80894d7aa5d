//! An operator's workflow with the client: configure a fleet, send a test
//! request, explain it, take an upstream out of service and stop the host.

use std::{process::Output, time::Duration};

use comfreyway_testkit::service::ServiceStandIn;

use crate::config_fleet::Fleet;

/// Time within which `status` must return for nine hosts.
const STATUS_LIMIT: Duration = Duration::from_secs(5);

fn output_text(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    format!("{out}{}", String::from_utf8_lossy(&output.stderr))
}

fn run_ok(fleet: &Fleet, args: &[&str]) -> String {
    let output = fleet.run(0, args);
    assert_eq!(output.status.code(), Some(0), "{args:?}: {output:?}");
    output_text(&output)
}

fn send_request(fleet: &Fleet) -> Output {
    let to = format!("--to={}", fleet.daemons[0].settings().callers);
    fleet.run(0, &["request", "send", &to, "--workspace=lab", "--path=/rack/1", "--class=quote"])
}

fn request_id(output: &Output) -> String {
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    let (_, rest) = stderr.split_once("request ").unwrap();
    rest.split(':').next().unwrap().to_owned()
}

#[actix_rt::test]
async fn an_operator_configures_tests_explains_and_stops_a_fleet() {
    let mut fleet = Fleet::start(1).await;
    let service = ServiceStandIn::start().unwrap();
    let address = format!("address={}", service.address());
    run_ok(&fleet, &["workspace", "set", "lab", "note=State library"]);
    run_ok(&fleet, &["data-centre", "set", "medeu", "region=almaty"]);
    run_ok(&fleet, &["upstream", "set", "rack", "kind=service"]);
    run_ok(&fleet, &["runner", "set", "rack/r1", &address, "data-centre=medeu"]);
    run_ok(&fleet, &["route", "set", "/rack", "upstream=rack"]);
    run_ok(&fleet, &["class", "set", "quote", "whole-answer=5s"]);

    let metrics = fleet.daemons[0].metrics().await.unwrap();
    assert!(metrics.contains("comfreyway_config_version 7"), "{metrics}");

    let answered = send_request(&fleet);
    assert_eq!(answered.status.code(), Some(0), "{answered:?}");
    let explained = run_ok(&fleet, &["explain", &request_id(&answered)]);
    assert!(explained.contains("assigned to runner r1"), "{explained}");
    assert!(explained.contains("the response was complete"), "{explained}");
    let status = run_ok(&fleet, &["status"]);
    assert!(status.contains("1 of 1"), "{status}");

    run_ok(&fleet, &["upstream", "leave", "rack"]);
    let refused = send_request(&fleet);
    assert_eq!(refused.status.code(), Some(6), "{refused:?}");
    let explained = run_ok(&fleet, &["explain", &request_id(&refused)]);
    assert!(explained.contains("it was not run"), "{explained}");
    let shown = run_ok(&fleet, &["request", "show", &request_id(&refused)]);
    assert!(shown.contains("not-run"), "{shown}");

    run_ok(&fleet, &["host", "stop"]);
    assert!(fleet.daemons[0].exited().await.unwrap().success());
}

#[actix_rt::test]
async fn status_shows_nine_hosts_on_one_screen() {
    let fleet = Fleet::start(9).await;
    let started = std::time::Instant::now();
    let status = run_ok(&fleet, &["status"]);
    let elapsed = started.elapsed();
    assert!(elapsed < STATUS_LIMIT);
    println!("status of 9 hosts returned after {} ms", elapsed.as_millis());
    assert!(status.contains("in force on 9 of 9"), "{status}");
    assert!(status.lines().all(|line| line.chars().count() <= 80), "{status}");
    assert!(status.lines().count() <= 24, "{status}");
}

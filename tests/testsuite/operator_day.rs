//! An operator's day with the client: from an empty fleet to a trial request,
//! its explanation, a runner that leaves, and a stop.

use std::{process::Output, time::Duration};

use comfreyway_testkit::service::ServiceStandIn;

use crate::config_fleet::Fleet;

/// Time within which `status` answers on nine hosts.
const STATUS_LIMIT: Duration = Duration::from_secs(5);

fn text(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    format!("{out}{}", String::from_utf8_lossy(&output.stderr))
}

fn done(fleet: &Fleet, args: &[&str]) -> String {
    let output = fleet.run(0, args);
    assert_eq!(output.status.code(), Some(0), "{args:?}: {output:?}");
    text(&output)
}

fn send(fleet: &Fleet) -> Output {
    let to = format!("--to={}", fleet.daemons[0].settings().callers);
    fleet.run(0, &["request", "send", &to, "--workspace=lab", "--path=/rack/1", "--class=quote"])
}

fn request_id(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    let (_, rest) = text.split_once("request ").unwrap();
    rest.split(':').next().unwrap().to_owned()
}

#[actix_rt::test]
async fn a_fleet_is_set_up_tried_explained_and_stopped() {
    let mut fleet = Fleet::start(1).await;
    let service = ServiceStandIn::start().unwrap();
    let address = format!("address={}", service.address());
    done(&fleet, &["workspace", "set", "lab", "note=State library"]);
    done(&fleet, &["data-centre", "set", "medeu", "region=almaty"]);
    done(&fleet, &["upstream", "set", "rack", "kind=service"]);
    done(&fleet, &["runner", "set", "rack/r1", &address, "data-centre=medeu"]);
    done(&fleet, &["route", "set", "/rack", "upstream=rack"]);
    done(&fleet, &["class", "set", "quote", "whole-answer=5s"]);

    let metrics = fleet.daemons[0].metrics().await.unwrap();
    assert!(metrics.contains("comfreyway_config_version 7"), "{metrics}");

    let answered = send(&fleet);
    assert_eq!(answered.status.code(), Some(0), "{answered:?}");
    let explained = done(&fleet, &["explain", &request_id(&answered)]);
    assert!(explained.contains("assigned to runner r1"), "{explained}");
    assert!(explained.contains("the response was complete"), "{explained}");
    let status = done(&fleet, &["status"]);
    assert!(status.contains("1 of 1"), "{status}");

    done(&fleet, &["upstream", "leave", "rack"]);
    let refused = send(&fleet);
    assert_eq!(refused.status.code(), Some(6), "{refused:?}");
    let explained = done(&fleet, &["explain", &request_id(&refused)]);
    assert!(explained.contains("it was not run"), "{explained}");
    let shown = done(&fleet, &["request", "show", &request_id(&refused)]);
    assert!(shown.contains("not-run"), "{shown}");

    done(&fleet, &["host", "stop"]);
    assert!(fleet.daemons[0].exited().await.unwrap().success());
}

#[actix_rt::test]
async fn status_shows_nine_hosts_on_one_screen() {
    let fleet = Fleet::start(9).await;
    let started = std::time::Instant::now();
    let status = done(&fleet, &["status"]);
    let took = started.elapsed();
    assert!(took < STATUS_LIMIT);
    println!("status of 9 hosts answered after {} ms", took.as_millis());
    assert!(status.contains("in force on 9 of 9"), "{status}");
    assert!(status.lines().all(|line| line.chars().count() <= 80), "{status}");
    assert!(status.lines().count() <= 24, "{status}");
}

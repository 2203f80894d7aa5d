//! Hosts of different versions in one fleet.

use comfreyway_core::{
    fleet::{PromptPart, RunnerKey, RunnerVersion, Suspect},
    ids::{RequestId, RunnerName},
    request::Usage,
};

use super::*;

/// Messages before hosts told their protocol and the versions of runners.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum FormerMessage {
    #[serde(rename = "h")]
    Hello(HostId, u64),
    #[serde(rename = "g")]
    Grant(RequestId, RunnerName),
}

#[test]
fn hellos_are_read_by_and_from_hosts_without_a_protocol() {
    let host = HostId { name: "h1".parse().unwrap(), incarnation: 7 };
    let former = FormerMessage::Hello(host.clone(), 3);
    assert_eq!(recode::<_, ToCoordinator>(&former), ToCoordinator::Hello(host.clone(), 3, 0));
    assert_eq!(recode::<_, FormerMessage>(&ToCoordinator::Hello(host, 3, PROTOCOL)), former);
}

#[test]
fn grants_are_read_by_and_from_hosts_that_know_no_versions() {
    let (id, runner) = (RequestId::new(5), RunnerName::new("e1").unwrap());
    let former = FormerMessage::Grant(id, runner.clone());
    let grant = |version| PlacementReply::Grant(id, runner.clone(), version);
    assert_eq!(recode::<_, PlacementReply>(&former), grant(None));
    assert_eq!(recode::<_, FormerMessage>(&grant(RunnerVersion::new("v1"))), former);
}

/// Hosts of earlier versions would end the session.
#[test]
fn hosts_that_do_not_know_misdirected_requests_are_sent_another_reason() {
    let requeue = |reason| ToCoordinator::Update(RequestUpdate::Requeue(RequestId::new(5), reason));
    let message = requeue(RetryReason::Misdirected);
    let former = message.clone().for_protocol(PROTOCOL_LOADS);
    assert_eq!(former, requeue(RetryReason::RunnerLeaving));
    assert_eq!(message.clone().for_protocol(PROTOCOL), message);
}

#[test]
fn limits_are_sent_to_both_sides() {
    let key = RunnerKey { name: RunnerName::new("e1").unwrap(), started_ms: None };
    let sent_ago = Duration::from_millis(40);
    let report = LimitReport { key: key.clone(), per_s: Some(2.5), sent_ago };
    let message = ToCoordinator::Limit(report);
    assert_eq!(recode::<_, ToCoordinator>(&message), message);
    let message = ToHost::Limits(vec![RunnerLimit { key, per_s: None }]);
    assert_eq!(recode::<_, ToHost>(&message), message);
}

#[test]
fn loads_are_sent_to_the_coordinator() {
    let load = RunnerLoad { running: 3, waiting: 1, slots: 8, slowdown: 2.5 };
    let message = ToCoordinator::Load(RunnerName::new("e1").unwrap(), load);
    assert_eq!(recode::<_, ToCoordinator>(&message), message);
}

/// Token counts before they said what ended the response.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct FormerUsage {
    pt: u32,
    ct: u32,
    dt: u32,
    ft: Duration,
    tt: Duration,
}

#[test]
fn token_counts_are_read_by_and_from_hosts_that_know_no_unframed_responses() {
    let time = Duration::from_millis(90);
    let former = FormerUsage { pt: 1, ct: 0, dt: 3, ft: time, tt: time };
    let usage: Usage = recode(&former);
    assert!(!usage.until_close);
    assert_eq!(recode::<_, FormerUsage>(&Usage { until_close: true, ..usage }), former);
}

#[test]
fn suspects_are_sent_with_the_runs_that_ended() {
    let key = RunnerKey { name: RunnerName::new("e1").unwrap(), started_ms: Some(3) };
    let breaks = vec![(key, true)];
    let digest = "d746593e2ac628579abd2bd13a6d3776".parse().unwrap();
    let request = SuspectRecord {
        suspect: Suspect::Request(digest),
        breaks: breaks.clone(),
        quarantined: false,
        proven: true,
        cleared: vec![RunnerKey { name: RunnerName::new("e2").unwrap(), started_ms: None }],
    };
    let record = SuspectRecord {
        suspect: Suspect::Part(PromptPart(7)),
        breaks,
        quarantined: true,
        proven: false,
        cleared: Vec::new(),
    };
    let message = ToHost::Suspects(vec![record, request]);
    assert_eq!(recode::<_, ToHost>(&message), message);
}

/// What a host of an earlier version knows of a part.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct FormerPartRecord {
    p: u64,
    b: Vec<(RunnerKey, bool)>,
    q: bool,
    s: bool,
}

#[test]
fn parts_are_read_by_and_from_hosts_that_know_no_suspects() {
    let former = FormerPartRecord { p: 7, b: Vec::new(), q: true, s: false };
    let record: SuspectRecord = recode(&former);
    assert_eq!(record.suspect, Suspect::Part(PromptPart(7)));
    assert_eq!(recode::<_, FormerPartRecord>(&record), former);
}

/// The response to a ping before it named the number of hosts.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum FormerToHost {
    #[serde(rename = "p")]
    Pong(u64, u64, Duration),
}

fn recode<T, U>(message: &T) -> U
where
    T: Serialize,
    U: DeserializeOwned,
{
    ciborium::from_reader(&Frame::new(message).unwrap().0[..]).unwrap()
}

#[test]
fn pongs_are_read_by_and_from_hosts_that_count_no_hosts() {
    let staleness = Duration::from_millis(20);
    let former = FormerToHost::Pong(1, 2, staleness);
    assert_eq!(recode::<_, ToHost>(&former), ToHost::Pong(1, 2, staleness, 0, 0));
    assert_eq!(recode::<_, FormerToHost>(&ToHost::Pong(1, 2, staleness, 380, PROTOCOL)), former);
}

//! Hosts that send each other's requests to runners.

use std::{net::SocketAddr, time::Duration};

use actix_rt::time::sleep;
use comfreyway_testkit::daemon::{Signal, eventually, unused_address};
use serde_json::json;

use crate::support::Daemon;

use super::harness::{DEADLINE, DESK_KEY, FleetHarness, KEY, Response, call_with, runner_entry};

/// Requests on this path may run at most once.
pub(super) const PATH: &str = "/lookup/count/";

/// Time for a request to reach the buffers of another host.
const SENT_TIME: Duration = Duration::from_millis(250);

/// A host that knows that it can't connect to the runners, and others that don't know yet.
pub(super) struct CutOff {
    pub(super) near: Daemon,
    pub(super) others: Vec<Daemon>,
    /// Addresses of the runners, which nothing listens on yet.
    pub(super) runners: [SocketAddr; 2],
    _fleet: FleetHarness,
}

impl CutOff {
    pub(super) async fn new(fleet: FleetHarness, others: usize) -> Self {
        let runners = [unused_address().unwrap(), unused_address().unwrap()];
        for (number, address) in runners.iter().enumerate() {
            let mut entry = runner_entry(*address, "survey", "ready");
            entry["slots"] = json!(16);
            fleet.store.put(&format!("servers/r{number}"), entry.to_string().as_bytes());
        }
        let settings = fleet.settings("h1").with_workers(1).with_limit("stop-limit", "3s");
        let near = Daemon::start_ready(settings).await;
        for attempt in 0.. {
            if near.log().matches("event=CF0516").count() == runners.len() {
                break;
            }
            ask(&near, &format!("early-{attempt}"), 400).await;
        }
        let mut hosts = Vec::new();
        for number in 0..others {
            hosts.push(fleet.start_host(&format!("other{number}")).await);
        }
        let known = || async {
            let sessions = near.log().matches("event=CF0535").count();
            (sessions >= others).then_some(())
        };
        eventually(known).await.expect("the other hosts have no session with the first");
        Self { near, others: hosts, runners, _fleet: fleet }
    }

    /// Waits until a request has left for another host.
    pub(super) async fn sent(&self, id: &str) {
        let line = format!("id={id} ");
        let is_sent = || async {
            let log = self.near.log();
            let mut lines = log.lines().filter(|l| l.contains("event=CF0504"));
            lines.any(|l| l.contains(&line)).then_some(())
        };
        eventually(is_sent).await.expect("the request is not dispatched");
        sleep(SENT_TIME).await;
    }

    /// Starts the runners once a request has left for the other host, which is frozen until
    /// then: the first host would find runners that listen before, and use them itself.
    pub(super) async fn start_runners<R, F>(&self, id: &str, start: F) -> [R; 2]
    where
        F: FnMut(SocketAddr) -> R,
    {
        self.others[0].signal(Signal::Stop).unwrap();
        self.sent(id).await;
        let runners = self.runners.map(start);
        self.others[0].signal(Signal::Continue).unwrap();
        self.was_forwarded(id).await;
        runners
    }

    /// Waits until the log says that a request was sent through another host.
    async fn was_forwarded(&self, id: &str) {
        let is_logged = || async { (self.forwarded(id) == 1).then_some(()) };
        eventually(is_logged).await.expect("the request was not sent through another host");
    }

    pub(super) fn forwarded(&self, id: &str) -> usize {
        let line = format!("id={id} ");
        let log = self.near.log();
        let lines = log.lines().filter(|l| l.contains("event=CF0515") && l.contains(&line));
        lines.count()
    }
}

pub(super) async fn ask(host: &Daemon, id: &str, deadline_ms: u64) -> Response {
    let deadline = deadline_ms.to_string();
    call_with(host, id, PATH, &[(KEY, DESK_KEY), (DEADLINE, &deadline)], "body").await
}

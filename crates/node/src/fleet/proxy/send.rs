//! Sends one request to a runner, itself or through another host.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use comfreyway_core::{
    fleet::{RunnerEntry, RunnerPath},
    ids::{HostId, UpstreamName},
    outcome::RetryReason,
};
use hyper::{Response, body::Incoming};

use crate::{
    events::{Event, log_event},
    fleet::{
        forward::{ForwardFailure, send_through},
        runner_connections::{
            CONNECT_TIMEOUT, RunnerConnection, SendFailure, SentRequest, connect,
        },
    },
};

use super::{admitted::AdmittedRequest, handler::ProxyState};

/// Time after which no other host is asked for the same attempt.
const MAX_SEARCH_TIME: Duration = Duration::from_millis(1_000);

/// Hosts that reach others but not this runner, from which on it has probably ended.
const MIN_HOSTS_UNREACHABLE: usize = 2;

/// A response that has begun, and the way that it takes.
pub(super) struct ReceivedResponse {
    pub(super) res: Response<Incoming>,
    pub(super) connection: RunnerConnection,
    pub(super) route: ResponseRoute,
}

/// The way of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ResponseRoute {
    /// From the runner.
    Direct,
    /// Through another host.
    Forwarded {
        /// True if the runner's response ends with its connection.
        is_unframed: bool,
    },
}

impl ProxyState {
    /// Sends a request to a runner and waits for the response head. `is_forwarded` is set
    /// once bytes of the request may have gone to another host.
    pub(super) async fn send(
        &self,
        request: &AdmittedRequest,
        runner: &RunnerEntry,
        after: Option<u64>,
        is_forwarded: &mut bool,
    ) -> Result<ReceivedResponse, SendFailure> {
        let (upstream, address) = (&runner.upstream, runner.address);
        let now = || self.host_state.clock.now();
        let path = self.paths.borrow_mut().path(now(), upstream, address);
        let max_idle = match path {
            RunnerPath::Direct { max_idle } => max_idle,
            RunnerPath::ThroughHost => {
                let sent = self.send_forwarded(request, runner, after, is_forwarded).await?;
                if let Some(received) = sent {
                    return Ok(received);
                }
                // No host forwards it, so this one may not be cut off at all.
                Some(Duration::ZERO)
            }
        };
        let req = request.request_to(runner, after);
        let reason = match self.connections.send(&runner.key, address, req, max_idle).await {
            Ok(SentRequest { res, connection, is_new }) => {
                match is_new {
                    true => self.runner_connected(upstream, address),
                    false => self.paths.borrow_mut().responded(now(), upstream),
                }
                return Ok(ReceivedResponse { res, connection, route: ResponseRoute::Direct });
            }
            Err(SendFailure::NotSent(reason)) => reason,
            Err(failure) => return Err(failure),
        };
        if self.paths.borrow_mut().connect_failed(now(), upstream, address) {
            log_event!(
                Event::RunnerUnreachable,
                address:% = address,
                reason = reason.as_str()
            );
        }
        let is_direct = path != RunnerPath::ThroughHost;
        let path = self.paths.borrow_mut().path(now(), upstream, address);
        if is_direct && path == RunnerPath::ThroughHost {
            let sent = self.send_forwarded(request, runner, after, is_forwarded).await?;
            return sent.ok_or(SendFailure::NotSent(reason));
        }
        Err(SendFailure::NotSent(reason))
    }

    /// Sends a request through other hosts, one after the other until one of them reaches
    /// the runner. Returns none if no host forwards requests now.
    async fn send_forwarded(
        &self,
        request: &AdmittedRequest,
        runner: &RunnerEntry,
        after: Option<u64>,
        is_forwarded: &mut bool,
    ) -> Result<Option<ReceivedResponse>, SendFailure> {
        let hosts = self.host_state.forward_hosts();
        let ids: Vec<_> = hosts.iter().map(|host| host.id.clone()).collect();
        let upstream = &runner.upstream;
        let started = self.host_state.clock.now();
        let mut tried: Vec<HostId> = Vec::new();
        let mut unreachable = 0;
        loop {
            let now = self.host_state.clock.now();
            let next = self.paths.borrow_mut().next_host(now, upstream, &ids, &tried).cloned();
            let next = next.filter(|_| now.since(started) < MAX_SEARCH_TIME);
            let Some(host) = next.and_then(|id| hosts.iter().find(|host| host.id == id)) else {
                return Ok(None);
            };
            *is_forwarded = true;
            let result = send_through(host, runner, request.request_to(runner, after)).await;
            let outcome = match &result {
                Ok(_) => "response",
                Err(ForwardFailure::Unreachable) => "unreachable",
                Err(ForwardFailure::NotSent(cause)) => cause,
                Err(ForwardFailure::Unknown(_)) => "unknown",
            };
            log_event!(
                Event::RequestForwarded,
                id = request.caller_id.as_str(),
                runner:% = runner.key.name,
                through:% = host.id,
                outcome = outcome
            );
            match result {
                Ok((res, connection, is_unframed)) => {
                    self.paths.borrow_mut().host_forwarded(upstream, &host.id);
                    let route = ResponseRoute::Forwarded { is_unframed };
                    return Ok(Some(ReceivedResponse { res, connection, route }));
                }
                Err(ForwardFailure::Unreachable) => {
                    *is_forwarded = false;
                    unreachable += 1;
                    if unreachable == MIN_HOSTS_UNREACHABLE {
                        self.paths.borrow_mut().no_path(now, runner.address);
                        return Err(SendFailure::NotSent(RetryReason::ConnectRefused));
                    }
                    tried.push(host.id.clone());
                }
                Err(ForwardFailure::NotSent(_)) => {
                    *is_forwarded = false;
                    self.paths.borrow_mut().host_failed(now, upstream, &host.id);
                    tried.push(host.id.clone());
                }
                Err(ForwardFailure::Unknown(cause)) => {
                    self.paths.borrow_mut().host_failed(now, upstream, &host.id);
                    return Err(SendFailure::Unknown(cause));
                }
            }
        }
    }

    /// Attempts connections to the runners that can't be reached, when they are due.
    pub(super) fn probe_runners(self: &Rc<Self>) {
        let due = self.paths.borrow_mut().due_probes(self.host_state.clock.now());
        for (upstream, address) in due {
            let proxy = self.clone();
            actix_rt::spawn(async move {
                if connect(address, CONNECT_TIMEOUT).await.is_ok() {
                    proxy.runner_connected(&upstream, address);
                }
            });
        }
    }

    fn runner_connected(&self, upstream: &UpstreamName, address: SocketAddr) {
        let now = self.host_state.clock.now();
        if self.paths.borrow_mut().connected(now, upstream, address) {
            log_event!(Event::RunnerReachable, address:% = address);
        }
    }
}

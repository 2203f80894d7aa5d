//! Callers' requests, on their way through clients, coordinators and runners.

use std::{collections::VecDeque, time::Duration};

use comfreyway_core::{
    fleet::{
        ClientAction, PlacementReply, PlacementRequest, RunnerEntry, RunnerVersion, StreamBinding,
        StreamId, stream_retention,
    },
    ids::{HostId, RequestId, RunnerName},
    outcome::RetryReason,
    request::DispatchEnd,
};
use rand::{RngExt, rngs::StdRng};

use crate::support::{at, placement_request};

use super::{CALLER_WAIT_MS, CallerWaits, Fleet, HOSTS, Open, Stream};

impl Fleet {
    pub(super) fn begin(&mut self, rng: &mut StdRng) {
        self.numbers += 1;
        let (stream, host) = (self.numbers, rng.random_range(0..HOSTS));
        if self.nodes[host].is_none() {
            return;
        }
        self.counts.asked += 1;
        self.submit(host, stream, false);
    }

    /// Takes up the streams that are due, each at any host.
    pub(super) fn take_up(&mut self, rng: &mut StdRng) {
        let now_ms = self.now_ms;
        let due = self.broken.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).collect::<Vec<_>>();
        for (_, stream) in due {
            let host = rng.random_range(0..HOSTS);
            let Some(node) = &self.nodes[host] else { continue };
            let version = &self.streams[&stream].version;
            let serves = |entry: &RunnerEntry| entry.version.as_ref() == Some(version);
            if !node.cut_from_store && self.runners.values().any(serves) {
                self.counts.taken_up += 1;
            }
            self.submit(host, stream, true);
        }
        // Whether a stream breaks off is drawn as it begins.
        let begun = self.streams.iter().rev().take(4);
        for (stream, Stream { max_wait_ms, .. }) in begun {
            if rng.random_range(0..8) == 0 {
                self.broken.push((now_ms + rng.random_range(0..*max_wait_ms), *stream));
            }
        }
    }

    pub(super) fn submit(&mut self, host: usize, stream: u64, takes_up: bool) {
        self.numbers += 1;
        let id = RequestId::new(u128::from(self.numbers));
        let stream_id = StreamId::new(&"desk".parse().unwrap(), &stream.to_string());
        let binding = match takes_up {
            true => StreamBinding::continues(stream_id, None),
            false => StreamBinding::begins(stream_id),
        };
        let mut req: PlacementRequest = placement_request(u128::from(self.numbers), 0.0);
        let Some(node) = &mut self.nodes[host] else { return };
        let wait_ms = (self.waits == CallerWaits::Stated).then_some(CALLER_WAIT_MS);
        let max_wait_ms = wait_ms.unwrap_or(node.time_limit_ms);
        // It has no configuration yet.
        if node.time_limit_ms == 0 {
            return;
        }
        req.time_limit = Duration::from_millis(node.time_limit_ms);
        let retention = stream_retention(req.time_limit, wait_ms.map(Duration::from_millis));
        req.stream = Some(binding.with_retention(retention));
        req.record.entry = node.id.clone();
        self.open.insert(id, Open { host, stream, max_wait_ms, takes_up });
        let mut actions = Vec::new();
        node.client.submit(at(self.now_ms), req, &mut actions);
        self.execute(host, actions, Vec::new());
    }

    /// Carries out the actions of a host's client and the replies of its coordinator.
    pub(super) fn execute(
        &mut self,
        host: usize,
        actions: Vec<ClientAction>,
        replies: Vec<(HostId, PlacementReply)>,
    ) {
        let now = at(self.now_ms);
        let mut actions: VecDeque<_> = actions.into_iter().map(|action| (host, action)).collect();
        let mut replies: VecDeque<_> =
            replies.into_iter().map(|(to, reply)| (host, to, reply)).collect();
        loop {
            let (mut new_actions, mut new_replies) = (Vec::new(), Vec::new());
            let at_host;
            if let Some((from, to, reply)) = replies.pop_front() {
                let found = self.nodes.iter().position(|n| n.as_ref().is_some_and(|n| n.id == to));
                let Some(to) = found else { continue };
                at_host = to;
                let from_id = self.nodes[from].as_ref().map(|node| node.id.clone());
                let Some(node) = &mut self.nodes[to] else { continue };
                let from_id = from_id.filter(|_| from != to);
                node.client.handle_reply(from_id.as_ref(), reply, &mut new_actions);
            } else if let Some((by, action)) = actions.pop_front() {
                at_host = by;
                match action {
                    ClientAction::Send(to, update) => {
                        let to = match to {
                            None => Some(by),
                            Some(id) => self
                                .nodes
                                .iter()
                                .position(|n| n.as_ref().is_some_and(|n| n.id == id)),
                        };
                        let Some(id) = self.nodes[by].as_ref().map(|n| n.id.clone()) else {
                            continue;
                        };
                        let Some(to) = to else { continue };
                        let Some(node) = &mut self.nodes[to] else { continue };
                        if to == by || node.coordinator.clients().any(|client| *client == id) {
                            node.coordinator.handle_update(now, &id, update, &mut new_replies);
                        }
                        replies.extend(new_replies.drain(..).map(|(id, reply)| (to, id, reply)));
                    }
                    ClientAction::Dispatch(id, runner, version) => {
                        new_actions = self.dispatch(by, id, &runner, version, &mut new_replies);
                        replies.extend(new_replies.drain(..).map(|(id, reply)| (by, id, reply)));
                    }
                    ClientAction::Refuse(id, ..) => {
                        self.open.remove(&id);
                    }
                }
            } else {
                return;
            }
            actions.extend(new_actions.into_iter().map(|action| (at_host, action)));
        }
    }

    /// Sends a request to a runner, which brings the first event and ends.
    pub(super) fn dispatch(
        &mut self,
        host: usize,
        id: RequestId,
        runner: &RunnerName,
        version: Option<RunnerVersion>,
        replies: &mut Vec<(HostId, PlacementReply)>,
    ) -> Vec<ClientAction> {
        let now = at(self.now_ms);
        let mut actions = Vec::new();
        let Some(node) = &mut self.nodes[host] else { return actions };
        let known = node.runners.get(runner).map(|entry| entry.version.clone());
        let accepted = known.filter(|known| version.is_none() || *known == version);
        let Some(version) = accepted.filter(|_| self.runners.contains_key(runner)) else {
            let mut requeued = Vec::new();
            node.client.requeue(id, RetryReason::RunnerLeaving, &mut requeued);
            self.delayed.extend(requeued.into_iter().map(|action| (host, action)));
            return actions;
        };
        node.client.dispatched(id, version.clone());
        if let Some(record) = node.client.stream_record(id) {
            node.coordinator.learn_streams(now, [record], replies);
        }
        node.client.first_token(id, &mut actions);
        node.client.ended(id, DispatchEnd::Cancelled, &mut actions);
        let (Some(open), Some(version)) = (self.open.remove(&id), version) else { return actions };
        if !open.takes_up {
            self.counts.began += 1;
            let max_wait_ms = open.max_wait_ms;
            self.streams.insert(open.stream, Stream { version, max_wait_ms });
            return actions;
        }
        let began = &self.streams[&open.stream].version;
        if *began == version {
            self.counts.went_on += 1;
        } else {
            let text = format!("{} ms: {} began at {began}, {version}", self.now_ms, open.stream);
            self.counts.mixed.push(text);
        }
        actions
    }
}

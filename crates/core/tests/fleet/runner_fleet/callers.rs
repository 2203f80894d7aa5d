//! Requests of callers: sound ones, and those that crash runners.

use std::time::Duration;

use comfreyway_core::{fleet::PromptPart, ids::RequestId, request::Target};
use rand::RngExt;

use crate::support::{at, placement_request};

use super::{
    BEGIN_MS, CONTACT_MS, Crashing, Fleet, HOSTS, LAST_COUNTED_MS, PLAY_MS, Pool, Request, digest,
};

/// Bodies of polls, which many callers send at any time.
const POLLS: u64 = 3;

/// Bodies from here on are drawn for one request each.
const FIRST_OWN_BODY: u64 = 1_000;

/// Time in which a request that is granted at once is answered.
const MAX_RESPONSE_MS: u64 = 4_000;

/// Target and time limit of a plain service.
const SERVICE_TARGET: Duration = Duration::from_millis(300);
const SERVICE_TIME_LIMIT: Duration = Duration::from_millis(1_500);

impl Fleet {
    pub(super) fn send_sound(&mut self) {
        let (parts, body) = match self.pool {
            Pool::Engines => (self.draw_session_parts(), self.new_body()),
            Pool::Service if self.rng.random_bool(0.5) => {
                (Vec::new(), self.rng.random_range(0..POLLS))
            }
            Pool::Service => (Vec::new(), self.new_body()),
        };
        if self.now_ms > BEGIN_MS && self.now_ms < LAST_COUNTED_MS {
            self.counts.sound += 1;
        }
        if self.is_late(self.now_ms) {
            self.counts.sound_late += 1;
        }
        let host = self.rng.random_range(0..HOSTS);
        let at_cut = self.is_at_cut(host);
        match at_cut {
            Some(true) => self.counts.at_cut += 1,
            Some(false) => self.counts.at_others += 1,
            None => {}
        }
        self.submit(Request { host, parts, body, attempts: 0, sent_ms: self.now_ms, at_cut });
    }

    /// Returns whether a host has been cut off from runners for the contact time, if any
    /// has.
    fn is_at_cut(&self, host: usize) -> Option<bool> {
        let is_known = |from_ms: u64| self.now_ms > from_ms + CONTACT_MS;
        let mut cuts = self.cut_from_runners.values();
        if self.now_ms > PLAY_MS - MAX_RESPONSE_MS || !cuts.any(|cut| is_known(cut.from_ms)) {
            return None;
        }
        // Those that were cut off a moment ago are counted with neither.
        let cut = self.cut_from_runners.get(&host);
        cut.map_or(Some(false), |cut| is_known(cut.from_ms).then_some(true))
    }

    pub(super) fn send_crashing(&mut self, number: usize) {
        match self.crashing[number] {
            Crashing::Request(body) => self.submit_new(Vec::new(), body),
            Crashing::Part(part, position) => {
                self.numbers += 1;
                let caller = PromptPart(0x10 + self.rng.random_range(0..5));
                let mut parts = vec![PromptPart(1), caller, PromptPart(0x2_0000 + self.numbers)];
                parts.insert(position, PromptPart(part));
                let body = self.new_body();
                self.bodies_with_crashing_parts.insert(digest(body));
                self.submit_new(parts, body);
            }
        }
    }

    fn draw_session_parts(&mut self) -> Vec<PromptPart> {
        if self.sessions.is_empty() || self.rng.random_range(0..5) == 0 {
            self.numbers += 1;
            self.sessions.push((0x1_0000 + self.numbers, self.rng.random_range(0..5)));
        }
        let pick = self.rng.random_range(0..self.sessions.len());
        let (session, caller) = self.sessions[pick];
        if self.rng.random_range(0..6) == 0 {
            self.sessions.swap_remove(pick);
        }
        vec![PromptPart(1), PromptPart(0x10 + caller), PromptPart(session)]
    }

    fn new_body(&mut self) -> u64 {
        self.numbers += 1;
        FIRST_OWN_BODY + self.numbers
    }

    fn submit_new(&mut self, parts: Vec<PromptPart>, body: u64) {
        let host = self.rng.random_range(0..HOSTS);
        let (sent_ms, at_cut) = (self.now_ms, None);
        self.submit(Request { host, parts, body, attempts: 0, sent_ms, at_cut });
    }

    pub(super) fn is_sound(&self, id: RequestId) -> bool {
        self.crashing_suspect(id).is_none()
    }

    /// Returns true if the crashes are known long enough for all suspects to be found.
    pub(super) fn is_late(&self, sent_ms: u64) -> bool {
        let known = self.crashing.iter().filter_map(|crashing| {
            self.crashes.get(&crashing.suspect())?.get(crashing.known_crashes() - 1)
        });
        let after = known.max().is_some_and(|known| sent_ms > known + 2 * CONTACT_MS);
        // The others may not have begun by the end of the play.
        after && sent_ms < LAST_COUNTED_MS
    }

    pub(super) fn submit(&mut self, request: Request) {
        self.numbers += 1;
        let mut req = placement_request(u128::from(self.numbers), 0.0);
        req.parts.clone_from(&request.parts);
        req.digest = Some(digest(request.body));
        req.prior_attempts = request.attempts;
        req.record.entry = self.nodes[request.host].id.clone();
        if self.pool == Pool::Service {
            req.record.target = Target::Whole(SERVICE_TARGET);
            req.time_limit = SERVICE_TIME_LIMIT;
        }
        let (id, host) = (req.record.id, request.host);
        self.retry_log.submitted(self.now_ms, id, request.attempts);
        self.requests.insert(id, request);
        let mut actions = Vec::new();
        self.nodes[host].client.submit(at(self.now_ms), req, &mut actions);
        self.execute(host, actions, Vec::new());
    }
}

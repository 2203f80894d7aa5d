//! Load and learned rates of a runner.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    fleet::{RunnerLoad, RunnerVersion},
    ids::{HostId, RequestId},
    time::MonoTime,
};

use super::{ewma::Ewma, rate_limit::RateLimit};

/// Assumed prefill time of a token before the first sample, in microseconds.
const DEFAULT_PREFILL_US: f64 = 22.0;

/// Assumed decode time of a token before the first sample, in microseconds.
const DEFAULT_DECODE_US: f64 = 6_500.0;

/// Assumed response time of a plain service before the first sample, in
/// microseconds.
const DEFAULT_SERVICE_US: f64 = 60_000.0;

/// Part of the time to first token that does not depend on the prompt: the
/// network round trip and one step of the engine. In microseconds.
pub(super) const FIXED_FIRST_TOKEN_US: f64 = 22_000.0;

/// Time after which half of what a runner said of its slowdown counts: neighbours on its
/// machine come and go several times a second.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(300);

/// Bounds of the slowdown that a runner may claim.
const MIN_SLOWDOWN: f64 = 0.5;
const MAX_SLOWDOWN: f64 = 8.0;

/// Pause after the first failure; doubles with each further one.
const INITIAL_PAUSE: Duration = Duration::from_millis(200);

/// Maximum pause after failures.
const MAX_PAUSE: Duration = Duration::from_millis(3_000);

/// Number of failures from which on a runner gets a single request at a time.
const MIN_PROBED_FAILURES: u32 = 2;

/// Pause after the runner turned a request away for lack of a slot.
const FULL_PAUSE: Duration = Duration::from_millis(120);

/// Number of hosts that a runner has asked for rest from which on it is left alone
/// by all.
const MAX_RESTED_HOSTS: usize = 2;

/// Number of hosts that a runner has to fail, without a response to any, until it is paused
/// for all: a host that is alone with its failures may be cut off from the runner.
const MIN_FAILED_HOSTS: usize = 2;

/// Why a dispatch to a runner failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchFailure {
    /// The connection failed, or broke before the end of the response.
    Broken,
    /// The runner reported that it has no free slot.
    Full,
}

/// Failures of one host at a runner.
#[derive(Clone, Copy, Debug)]
struct HostFailures {
    count: u32,
    /// Until when the host does not use the runner.
    paused_until: MonoTime,
}

/// Learned rates of one runner, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rates {
    pub(super) prefill_us: Ewma,
    pub(super) decode_us: Ewma,
    pub(super) service_us: Ewma,
}

/// A request in progress at a runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunnerRequest {
    pub(super) granted_at: MonoTime,
    pub(super) prompt_tokens: u32,
    /// Prompt tokens that were pending at the runner when it was granted.
    pub(super) tokens_ahead: u32,
    pub(super) prefilled: bool,
    /// Expected time to the end of its response.
    expected: Duration,
}

/// A runner with its load and learned rates.
#[derive(Clone, Debug)]
pub struct RunnerState {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// True if it accepts no new requests.
    pub leaving: bool,
    /// Version of its software, if it is known.
    pub version: Option<RunnerVersion>,
    pub(super) requests: BTreeMap<RequestId, RunnerRequest>,
    pub(super) pending_prompt_tokens: u32,
    pub(super) rates: Rates,
    pub(super) paused_until: MonoTime,
    /// Number of failures since its last response.
    pub(super) failures: u32,
    /// Failures of each host since the runner's last response to it.
    host_failures: BTreeMap<HostId, HostFailures>,
    /// Hosts that it has failed since its last response to any.
    failed_hosts: BTreeSet<HostId>,
    /// Limit on the requests that it gets from this coordinator's hosts.
    rate_limit: Option<RateLimit>,
    /// Hosts whose requests the runner does not accept until the given time.
    rests: BTreeMap<HostId, MonoTime>,
    /// How long work took there, relative to the usual time, when it said so last.
    slowdown: (f64, MonoTime),
}

impl RunnerState {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            leaving: false,
            version: None,
            requests: BTreeMap::new(),
            pending_prompt_tokens: 0,
            rates: Rates::default(),
            paused_until: MonoTime::ZERO,
            failures: 0,
            host_failures: BTreeMap::new(),
            failed_hosts: BTreeSet::new(),
            rate_limit: None,
            rests: BTreeMap::new(),
            slowdown: (1.0, MonoTime::ZERO),
        }
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_usable(&self, now: MonoTime) -> bool {
        !self.leaving && now >= self.paused_until
    }

    pub(super) fn has_free_slot(&self, now: MonoTime) -> bool {
        let is_allowed = self.rate_limit.is_none_or(|limit| limit.allows(now));
        self.is_usable(now) && !self.is_full() && is_allowed
    }

    pub(super) fn is_full(&self) -> bool {
        // After repeated failures, a single request probes the runner.
        let slots = if self.failures >= MIN_PROBED_FAILURES { 1 } else { self.slots };
        self.requests.len() >= slots as usize
    }

    /// Returns the slots that requests of `time_us` each keep in use, at most.
    pub(super) fn usable_slots(&self, time_us: f64) -> f64 {
        let by_rate = self.rate_limit.map(|limit| limit.per_s() * time_us / 1e6);
        by_rate.unwrap_or(f64::INFINITY).min(f64::from(self.slots))
    }

    /// Returns the requests a second that it may get, if it has a rate limit.
    pub(super) fn rate_limit_per_s(&self) -> Option<f64> {
        self.rate_limit.map(|limit| limit.per_s())
    }

    pub(super) fn set_rate_limit(&mut self, now: MonoTime, per_s: Option<f64>) {
        match (&mut self.rate_limit, per_s) {
            (Some(limit), Some(per_s)) => limit.set(now, per_s),
            (limit, per_s) => *limit = per_s.map(|per_s| RateLimit::new(now, per_s)),
        }
    }

    /// Counts a granted request against the rate limit.
    pub(super) fn take_from_rate_limit(&mut self, now: MonoTime) {
        if let Some(limit) = &mut self.rate_limit {
            limit.take(now);
        }
    }

    /// Returns the fraction of slots that are taken.
    pub(super) fn load(&self) -> f64 {
        self.requests.len() as f64 / f64::from(self.slots.max(1))
    }

    pub(super) fn prefill_us(&self) -> f64 {
        self.rates.prefill_us.get().unwrap_or(DEFAULT_PREFILL_US)
    }

    pub(super) fn decode_us(&self) -> f64 {
        self.rates.decode_us.get().unwrap_or(DEFAULT_DECODE_US)
    }

    pub(super) fn service_us(&self) -> f64 {
        self.rates.service_us.get().unwrap_or(DEFAULT_SERVICE_US)
    }

    /// Starts a request with `prompt_tokens` to prefill and an expected response of
    /// `length` tokens.
    pub(super) fn start(&mut self, now: MonoTime, id: RequestId, prompt_tokens: u32, length: f64) {
        let tokens_ahead = self.pending_prompt_tokens;
        self.pending_prompt_tokens += prompt_tokens;
        let prefill_us = self.prefill_us() * f64::from(self.pending_prompt_tokens);
        let us = FIXED_FIRST_TOKEN_US + prefill_us + self.decode_us() * length;
        let expected = Duration::from_micros(us as u64);
        let request = RunnerRequest {
            granted_at: now,
            prompt_tokens,
            tokens_ahead,
            prefilled: false,
            expected,
        };
        self.requests.insert(id, request);
    }

    /// Returns the expected time until a slot is free.
    pub(super) fn time_to_free_slot(&self, now: MonoTime) -> Duration {
        if !self.is_full() {
            return Duration::ZERO;
        }
        // One that is overdue may go on for as long as it took so far.
        let left = self.requests.values().map(|request| {
            let elapsed = now.since(request.granted_at);
            request.expected.checked_sub(elapsed).unwrap_or(elapsed)
        });
        left.min().unwrap_or_default()
    }

    /// Records what the runner said of its load.
    pub(super) fn set_load(&mut self, now: MonoTime, load: RunnerLoad) {
        self.slowdown = (load.slowdown.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN), now);
    }

    /// Returns how long work takes now, relative to the usual time. What the runner said
    /// counts less and less.
    pub(super) fn slowdown(&self, now: MonoTime) -> f64 {
        let (slowdown, at) = self.slowdown;
        let age = now.since(at).div_duration_f64(SLOWDOWN_HALF_LIFE);
        1.0 + (slowdown - 1.0) * (-age).exp2()
    }

    /// Removes a request, and its prompt from the pending tokens if its first
    /// token has not arrived.
    pub(super) fn end(&mut self, id: RequestId) -> Option<RunnerRequest> {
        let request = self.requests.remove(&id)?;
        if !request.prefilled {
            self.pending_prompt_tokens -= request.prompt_tokens;
        }
        Some(request)
    }

    /// Records that the runner turned a request away for lack of a slot.
    pub(super) fn record_full(&mut self, now: MonoTime) {
        self.paused_until = self.paused_until.max(now + FULL_PAUSE);
    }

    /// Records that a connection of this host failed, and pauses the runner for the host.
    pub(super) fn record_host_failure(&mut self, now: MonoTime, host: &HostId) {
        self.host_failures.retain(|_, failures| now < failures.paused_until + MAX_PAUSE);
        let none = HostFailures { count: 0, paused_until: MonoTime::ZERO };
        let of_host = self.host_failures.entry(host.clone()).or_insert(none);
        of_host.count += 1;
        of_host.paused_until = of_host.paused_until.max(now + failure_pause(of_host.count));
    }

    /// Records that a connection of this host failed, which reaches other runners. Pauses
    /// the runner for all once it has failed several hosts and answered none.
    pub(super) fn record_failure(&mut self, now: MonoTime, host: &HostId) {
        self.failures += 1;
        self.failed_hosts.insert(host.clone());
        if self.failed_hosts.len() >= MIN_FAILED_HOSTS {
            self.paused_until = self.paused_until.max(now + failure_pause(self.failures));
        }
    }

    /// Records that the runner accepts no requests of `host` for a while. If several
    /// hosts were told so, the runner is overloaded: it gets no requests at all, and
    /// afterwards a single one first.
    pub(super) fn rest(&mut self, now: MonoTime, host: HostId, until: MonoTime) {
        self.rests.retain(|_, until| now < *until);
        let rest = self.rests.entry(host).or_insert(until);
        *rest = until.max(*rest);
        if self.rests.len() >= MAX_RESTED_HOSTS {
            self.paused_until = self.paused_until.max(until);
            self.failures = self.failures.max(MIN_PROBED_FAILURES);
        }
    }

    /// Returns true if the runner accepts no requests of this host, or has failed them.
    pub(super) fn is_resting_for(&self, now: MonoTime, host: &HostId) -> bool {
        let failures = self.host_failures.get(host);
        self.rests.get(host).is_some_and(|until| now < *until)
            || failures.is_some_and(|failures| now < failures.paused_until)
    }

    /// Returns until when the runner is not used for some host's requests.
    pub(super) fn hosts_differ_until(&self) -> MonoTime {
        let paused = self.host_failures.values().map(|failures| failures.paused_until);
        paused.max().unwrap_or(MonoTime::ZERO)
    }

    /// Records a response to this host's request.
    pub(super) fn record_success(&mut self, host: &HostId) {
        self.failures = 0;
        self.failed_hosts.clear();
        self.host_failures.remove(host);
    }
}

/// Returns the pause after this number of failures in a row.
fn failure_pause(failures: u32) -> Duration {
    (INITIAL_PAUSE * 2_u32.saturating_pow(failures.min(8) - 1)).min(MAX_PAUSE)
}

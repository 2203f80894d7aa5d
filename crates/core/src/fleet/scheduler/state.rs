//! State of the ranking and its inputs.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{ClassName, HostId, RequestId, RunnerName},
    outcome::NotRunReason,
    request::{RequestRecord, Target},
    time::MonoTime,
};

use super::{
    DispatchFailure, RunnerState,
    ewma::Ewma,
    placing::Place,
    queue::{Queue, Times},
    roster::Roster,
};

/// Waiting requests that are looked at for one free place.
const LOOK_AHEAD: usize = 48;

/// Time between two reviews while requests wait.
const REVIEW: Duration = Duration::from_millis(20);

/// Prompt tokens that an engine prefills in one step.
const CHUNK_TOKENS: f64 = 2_048.0;

/// Most runners in one line of a log. Thousands would be 100 KB a second.
const MAX_SHOWN: usize = 32;

/// What the ranking decides.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The host may send the request to this runner.
    Grant(HostId, RequestId, RunnerName),
    /// The request is refused; it may come again after this time.
    Refuse(HostId, RequestId, NotRunReason, Duration),
}

/// A request at a runner.
#[derive(Clone, Debug)]
pub(super) struct Granted {
    pub(super) record: RequestRecord,
    pub(super) runner: RunnerName,
    until: MonoTime,
}

/// Order and placement of the requests of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamScheduler {
    pub(super) engine: bool,
    pub(super) chunk_tokens: f64,
    pub(super) runners: Roster,
    pub(super) queue: Queue,
    pub(super) flights: BTreeMap<RequestId, Granted>,
    pub(super) lengths: BTreeMap<ClassName, Ewma>,
}

impl UpstreamScheduler {
    /// A ranking without runners. `engine` is true for model engines.
    #[must_use]
    pub fn new(engine: bool) -> Self {
        let mut runners = Roster::default();
        runners.set_engine(engine);
        Self {
            engine,
            chunk_tokens: CHUNK_TOKENS,
            runners,
            queue: Queue::default(),
            flights: BTreeMap::new(),
            lengths: BTreeMap::new(),
        }
    }

    /// What the operators say of the upstream.
    pub fn set_engine(&mut self, engine: bool) {
        self.engine = engine;
        self.runners.set_engine(engine);
    }

    /// The runners, by name.
    pub fn runners(&self) -> impl Iterator<Item = (&RunnerName, &RunnerState)> {
        self.runners.iter()
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// A runner joined, or its description changed.
    pub fn set_runner(&mut self, name: RunnerName, slots: u32, leaving: bool) {
        self.runners.up(name, slots, leaving);
    }

    /// A runner is gone.
    pub fn remove_runner(&mut self, name: &RunnerName) {
        self.runners.remove(name);
    }

    /// A request waits. `left` is the time until its final answer, `avoid` the
    /// runner that it was sent to last.
    pub fn submit(
        &mut self,
        now: MonoTime,
        record: RequestRecord,
        left: Duration,
        avoid: Option<RunnerName>,
        out: &mut Vec<Decision>,
    ) {
        self.runners.refresh(now);
        let id = record.id;
        if self.queue.contains(id) || self.flights.contains_key(&id) {
            return;
        }
        if let Some(after) = self.refuse_at_arrival(&record, left) {
            out.push(Decision::Refuse(record.entry, id, NotRunReason::Shed, after));
            return;
        }
        self.enqueue(now, record, now + left, avoid);
        self.grant(now, out);
    }

    /// The request was given up by its host.
    pub fn withdraw(&mut self, now: MonoTime, id: RequestId, out: &mut Vec<Decision>) {
        if self.queue.remove(id).is_none() {
            self.release(id);
        }
        self.grant(now, out);
    }

    /// The runner did not run the request; it waits again.
    pub fn requeue(
        &mut self,
        now: MonoTime,
        id: RequestId,
        failure: Option<DispatchFailure>,
        out: &mut Vec<Decision>,
    ) {
        let Some(granted) = self.release(id) else { return };
        if let Some(failure) = failure {
            self.runners.change(&granted.runner, |runner| runner.fail(now, failure));
        }
        self.runners.refresh(now);
        let avoid = failure.is_some().then_some(granted.runner);
        self.enqueue(now, granted.record, granted.until, avoid);
        self.grant(now, out);
    }

    /// A request that another ranking granted is at this runner.
    pub fn adopt(&mut self, now: MonoTime, record: RequestRecord, runner: RunnerName) {
        self.queue.remove(record.id);
        self.start(now, record, runner, now);
    }

    /// A host is gone, and with it its connections to runners.
    pub fn host_left(&mut self, now: MonoTime, host: &HostId, out: &mut Vec<Decision>) {
        for id in self.queue.of_host(host) {
            self.queue.remove(id);
        }
        let own = self.flights.iter().filter(|(_, granted)| granted.record.entry == *host);
        for id in own.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.release(id);
        }
        self.grant(now, out);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        self.runners.refresh(now);
        self.grant(now, out);
        while let Some(waiting) = self.queue.take_expired(now) {
            let id = waiting.record.id;
            let wait = self.backlog(waiting.record.tier);
            let after = self.retry_after(wait, waiting.times.until.since(now));
            let reason = match self.runners.is_empty() {
                true => NotRunReason::NoRunner,
                false => NotRunReason::TargetUnreachable,
            };
            out.push(Decision::Refuse(waiting.record.entry, id, reason, after));
        }
    }

    /// When [`UpstreamScheduler::tick`] is due.
    #[must_use]
    pub fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        (self.queue.len() > 0).then(|| now + REVIEW)
    }

    fn enqueue(
        &mut self,
        now: MonoTime,
        record: RequestRecord,
        until: MonoTime,
        avoid: Option<RunnerName>,
    ) {
        let due = now + record.target.limit().saturating_sub(record.age);
        let rank_by = due - self.least_first(record.prefill_tokens);
        let refuse_at = Self::hold_until(now, &record, until.since(now));
        let times = Times { due, until, refuse_at };
        self.queue.insert(record, times, rank_by, avoid);
    }

    /// Grants as long as a waiting request finds a runner.
    pub(super) fn grant(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        while let Some((id, runner)) = self.next_grant(now) {
            let Some(waiting) = self.queue.remove(id) else { return };
            out.push(Decision::Grant(waiting.record.entry.clone(), id, runner.clone()));
            self.start(now, waiting.record, runner, waiting.times.until);
        }
    }

    fn next_grant(&mut self, now: MonoTime) -> Option<(RequestId, RunnerName)> {
        self.runners.free(now).next()?;
        let mut late = Vec::new();
        let mut found = None;
        let mut hopeless = Hopeless::default();
        for (id, waiting) in self.queue.first(LOOK_AHEAD) {
            if hopeless.includes(&waiting.record) {
                continue;
            }
            match self.place(now, waiting) {
                Place::None if waiting.avoid.is_none() => hopeless.add(&waiting.record),
                Place::InTime(runner) => {
                    found = Some((id, runner));
                    break;
                }
                Place::Late(runner) if waiting.late => {
                    found = Some((id, runner));
                    break;
                }
                Place::Late(_) => late.push(id),
                Place::Later | Place::None => {}
            }
        }
        let marked = !late.is_empty();
        for id in late {
            self.queue.mark_late(id);
        }
        // What has become late has another place in the order now.
        if found.is_none() && marked { self.next_grant(now) } else { found }
    }

    fn start(&mut self, now: MonoTime, record: RequestRecord, name: RunnerName, until: MonoTime) {
        let (id, prompt) = (record.id, record.prefill_tokens);
        self.runners.change(&name, |runner| runner.start(now, id, prompt));
        self.flights.insert(record.id, Granted { record, runner: name, until });
    }

    fn release(&mut self, id: RequestId) -> Option<Granted> {
        let granted = self.flights.remove(&id)?;
        self.runners.change(&granted.runner, |runner| runner.end(id));
        Some(granted)
    }
}

/// What found no runner in one look through the queue. A longer prompt finds
/// none either, nor one whose streams may pause for less: while many wait for
/// the same, few of them are compared with the runners.
#[derive(Debug, Default)]
struct Hopeless {
    /// Prompts with the longest pause of their streams.
    found_none: Vec<(u32, Duration)>,
}

impl Hopeless {
    fn add(&mut self, record: &RequestRecord) {
        self.found_none.push(Self::needs(record));
    }

    fn includes(&self, record: &RequestRecord) -> bool {
        let (prompt, pause) = Self::needs(record);
        self.found_none.iter().any(|(least, most)| prompt >= *least && pause <= *most)
    }

    fn needs(record: &RequestRecord) -> (u32, Duration) {
        let pause = match record.target {
            Target::Stream { between_tokens, .. } => between_tokens,
            Target::Whole(_) => Duration::MAX,
        };
        (record.prefill_tokens, pause)
    }
}

impl std::fmt::Display for UpstreamScheduler {
    /// One line for a log: what waits, and each runner with its load and rates; of
    /// many runners those that are not sound.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let busy: usize = self.runners.iter().map(|(_, runner)| runner.in_progress()).sum();
        write!(f, "{} wait, {busy} in progress;", self.queue.len())?;
        let all = self.runners.iter().count();
        let few = all <= MAX_SHOWN;
        if !few {
            write!(f, " {all} runners, those with failures or leaving:")?;
        }
        let shown = |runner: &RunnerState| few || runner.failures > 0 || runner.leaving;
        for (name, runner) in self.runners.iter().filter(|(_, r)| shown(r)).take(MAX_SHOWN) {
            let (load, slots) = (runner.in_progress(), runner.slots);
            let (prefill, decode) = (runner.prefill_us(), runner.decode_us());
            write!(f, " {name} {load}/{slots} {prefill:.0}/{decode:.0} us")?;
            write!(f, " {} pending", runner.pending_prompt)?;
            if runner.failures > 0 {
                write!(f, " {} failures", runner.failures)?;
            }
            if runner.leaving {
                write!(f, " leaving")?;
            }
        }
        Ok(())
    }
}

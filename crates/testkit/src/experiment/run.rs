//! One run: a trace, a policy, and engines in virtual time.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use comfreyway_core::{
    ids::{RequestId, RunnerName},
    outcome::RetryReason,
    pool::{PoolAction, PoolInput, RunnerSpec},
    request::{DispatchEnd, Grant},
    time::MonoTime,
};
use rand::{SeedableRng, rngs::StdRng};

use super::{
    engine::{Engine, EngineEvent, EngineSpec},
    scenario::{DISTURBED, DURATION, Scenario, WARM_UP},
    scheduler::{Policy, Scheduler},
    track::Track,
    workload::Arrival,
};

/// Time of a message between an entry and an engine.
pub(super) const ENGINE_HOP: Duration = Duration::from_millis(1);

/// Time between two reports of an engine.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the last arrival until which answers are waited for.
const DRAIN: Duration = Duration::from_secs(90);

/// Initial limit of a runner in requests.
const INITIAL_LIMIT: u32 = 16;

/// Engine that is disturbed.
pub(super) const DISTURBED_ENGINE: usize = 0;

/// Factor on the time of each step of the slowed engine.
const SLOWDOWN: f64 = 4.0;

/// Something that happens at a time.
#[derive(Debug)]
pub(super) enum Event {
    Arrive(usize),
    Scheduler(PoolInput),
    Entry(PoolAction),
    Reach { engine: usize, request: usize },
    StepEnd(usize),
    Token { request: usize, first: bool, last: bool },
    Lost(usize),
    Report(usize),
    Slow(f64),
    Lose,
}

/// Outcome of a run.
#[derive(Debug)]
pub(crate) struct RunResult {
    /// What became of each request, in order of the trace.
    pub(crate) tracks: Vec<Track>,
    /// Times between two tokens in microseconds, for counted requests.
    pub(crate) gaps: Vec<u32>,
    /// Work that the engines did between warm-up and the last arrival, as a
    /// share of their capacity.
    pub(crate) utilisation: f64,
    /// What the scheduler had learned and decided by the last arrival.
    pub(crate) details: String,
}

/// One run in progress.
pub(super) struct Run<'a> {
    pub(super) trace: &'a [Arrival],
    pub(super) scheduler: Box<dyn Scheduler>,
    pub(super) hop: Duration,
    pub(super) report_age: Duration,
    pub(super) engines: Vec<Engine>,
    pub(super) names: Vec<RunnerName>,
    pub(super) by_name: BTreeMap<RunnerName, usize>,
    pub(super) by_id: HashMap<RequestId, usize>,
    pub(super) tracks: Vec<Track>,
    pub(super) gaps: Vec<u32>,
    pub(super) events: BTreeMap<(MonoTime, u64), Event>,
    pub(super) next_event: u64,
    pub(super) now: MonoTime,
    pub(super) rng: StdRng,
    pub(super) actions: Vec<PoolAction>,
    pub(super) engine_events: Vec<EngineEvent>,
}

/// Runs a trace under a policy and a scenario.
#[must_use]
pub(crate) fn run(
    trace: &[Arrival],
    specs: &[EngineSpec],
    policy: Policy,
    scenario: Scenario,
    seed: u64,
) -> RunResult {
    let mut run = Run::new(trace, specs, policy, scenario, seed);
    run.start(specs, scenario);
    let warm = MonoTime::ZERO + WARM_UP;
    let done_before = run.work_until(warm);
    let end = MonoTime::ZERO + DURATION;
    let done = run.work_until(end) - done_before;
    let details = run.scheduler.describe(run.now);
    run.work_until(end + DRAIN);
    let capacity = end.since(warm).as_secs_f64() * specs.len() as f64;
    RunResult { tracks: run.tracks, gaps: run.gaps, utilisation: done / capacity, details }
}

impl<'a> Run<'a> {
    fn new(
        trace: &'a [Arrival],
        specs: &[EngineSpec],
        policy: Policy,
        scenario: Scenario,
        seed: u64,
    ) -> Self {
        let names: Vec<RunnerName> =
            specs.iter().map(|spec| spec.name.parse().expect("a valid name")).collect();
        Self {
            trace,
            scheduler: policy.scheduler(seed),
            hop: policy.hop(),
            report_age: scenario.report_age(),
            engines: specs.iter().cloned().map(Engine::new).collect(),
            by_name: names.iter().cloned().enumerate().map(|(n, name)| (name, n)).collect(),
            names,
            by_id: trace.iter().enumerate().map(|(n, a)| (a.record.id, n)).collect(),
            tracks: vec![Track::default(); trace.len()],
            gaps: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            now: MonoTime::ZERO,
            rng: StdRng::seed_from_u64(seed),
            actions: Vec::new(),
            engine_events: Vec::new(),
        }
    }

    fn start(&mut self, specs: &[EngineSpec], scenario: Scenario) {
        for (number, spec) in specs.iter().enumerate() {
            let runner = RunnerSpec {
                name: self.names[number].clone(),
                data_centre: spec.data_centre.parse().expect("a valid name"),
                initial_limit: INITIAL_LIMIT,
                engine: true,
                leaving: false,
            };
            self.at(MonoTime::ZERO, Event::Scheduler(PoolInput::RunnerUpdated(runner)));
            self.at(MonoTime::ZERO + REPORT_INTERVAL, Event::Report(number));
        }
        for (number, arrival) in self.trace.iter().enumerate() {
            self.at(arrival.at, Event::Arrive(number));
        }
        match scenario {
            Scenario::SlowEngine => {
                self.at(MonoTime::ZERO + DISTURBED.0, Event::Slow(SLOWDOWN));
                self.at(MonoTime::ZERO + DISTURBED.1, Event::Slow(1.0));
            }
            Scenario::RunnerLost => self.at(MonoTime::ZERO + DISTURBED.0, Event::Lose),
            Scenario::Burst | Scenario::StaleReports | Scenario::Steady => {}
        }
    }

    /// Runs until a time and returns the work done since the start, in seconds
    /// of an engine at a full batch.
    fn work_until(&mut self, end: MonoTime) -> f64 {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.apply(event);
        }
        self.engines.iter().map(|e| e.spec.work(e.prefilled as f64, e.decoded as f64)).sum()
    }

    pub(super) fn at(&mut self, at: MonoTime, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    pub(super) fn tell(&mut self, input: PoolInput) {
        self.at(self.now + self.hop, Event::Scheduler(input));
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => {
                self.tell(PoolInput::Submit(self.trace[request].record.clone()));
            }
            Event::Scheduler(input) => self.decide(input),
            Event::Entry(PoolAction::Grant { grant, .. }) => self.dispatch(&grant),
            Event::Entry(PoolAction::Refuse { id, reason, .. }) => {
                let request = self.by_id[&id];
                self.tracks[request].refused = Some(reason);
            }
            Event::Entry(PoolAction::SetTimer(_)) => {}
            Event::Reach { engine, request } => self.reach(engine, request),
            Event::StepEnd(engine) => self.step_end(engine),
            Event::Token { request, first, last } => self.token(request, first, last),
            Event::Lost(request) => {
                self.tracks[request].failed = true;
                let id = self.trace[request].record.id;
                self.tell(PoolInput::Ended { id, end: DispatchEnd::Failed });
            }
            Event::Report(engine) => self.report(engine),
            Event::Slow(factor) => self.engines[DISTURBED_ENGINE].slowdown = factor,
            Event::Lose => self.lose(),
        }
    }

    fn decide(&mut self, input: PoolInput) {
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.handle(self.now, input, &mut actions);
        for action in actions.drain(..) {
            match action {
                PoolAction::SetTimer(at) => self.at(at, Event::Scheduler(PoolInput::Tick)),
                action => self.at(self.now + self.hop, Event::Entry(action)),
            }
        }
        self.actions = actions;
    }

    fn dispatch(&mut self, grant: &Grant) {
        let request = self.by_id[&grant.id];
        let engine = self.by_name[&grant.runner];
        if !self.engines[engine].alive {
            let reason = RetryReason::ConnectRefused;
            let unused = PoolInput::GrantUnused { id: grant.id, reason };
            self.at(self.now + ENGINE_HOP * 2 + self.hop, Event::Scheduler(unused));
            return;
        }
        let track = &mut self.tracks[request];
        assert!(track.dispatched.is_none(), "{} was dispatched twice", grant.id);
        track.dispatched = Some(self.now);
        track.engine = engine;
        self.tell(PoolInput::Dispatched(grant.id));
        self.at(self.now + ENGINE_HOP, Event::Reach { engine, request });
    }
}

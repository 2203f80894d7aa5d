//! Simulates one run: a trace, a policy and engines in virtual time.

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
    scenario::{DISTURBANCE, DURATION, Scenario, WARM_UP},
    scheduler::{Policy, Scheduler},
    timeline::RequestTimeline,
    workload::Arrival,
};

/// One-way delay of a message between an entry and an engine.
pub(super) const ENGINE_DELAY: Duration = Duration::from_millis(1);

/// Time between two load reports of an engine.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the end of the arrivals in which requests may still end.
const COMPLETION_TIME: Duration = Duration::from_secs(90);

/// Initial limit of a runner, in requests.
const INITIAL_LIMIT: u32 = 16;

/// Index of the engine that is slowed or crashed.
pub(super) const DISTURBED_ENGINE: usize = 0;

/// Factor on the duration of each step of the slowed engine.
const SLOWDOWN: f64 = 4.0;

/// Event of the simulation.
#[derive(Debug)]
pub(super) enum Event {
    Arrive(usize),
    SchedulerInput(PoolInput),
    EntryAction(PoolAction),
    ReachEngine { engine: usize, request: usize },
    StepEnd(usize),
    Token { request: usize, first: bool, last: bool },
    ConnectionLost(usize),
    Report(usize),
    SetSlowdown(f64),
    CrashEngine,
}

/// Result of a run.
#[derive(Debug)]
pub(crate) struct RunResult {
    /// Course of each request, in the order of the trace.
    pub(crate) timelines: Vec<RequestTimeline>,
    /// Times between two tokens of counted requests, in microseconds.
    pub(crate) gaps: Vec<u32>,
    /// Least time for the tokens processed between the warm-up and the end of
    /// the arrivals, as a share of the engines' time.
    pub(crate) utilisation: f64,
    /// State of the scheduler at the end of the arrivals, as text.
    pub(crate) details: String,
}

/// State of a simulated run.
pub(super) struct Simulation<'a> {
    pub(super) trace: &'a [Arrival],
    pub(super) scheduler: Box<dyn Scheduler>,
    pub(super) message_delay: Duration,
    pub(super) report_age: Duration,
    pub(super) engines: Vec<Engine>,
    pub(super) names: Vec<RunnerName>,
    pub(super) by_name: BTreeMap<RunnerName, usize>,
    pub(super) by_id: HashMap<RequestId, usize>,
    pub(super) timelines: Vec<RequestTimeline>,
    pub(super) gaps: Vec<u32>,
    pub(super) events: BTreeMap<(MonoTime, u64), Event>,
    pub(super) next_event: u64,
    pub(super) now: MonoTime,
    pub(super) rng: StdRng,
    pub(super) actions: Vec<PoolAction>,
    pub(super) engine_events: Vec<EngineEvent>,
}

/// Simulates a trace under a policy and a scenario.
#[must_use]
pub(crate) fn run(
    trace: &[Arrival],
    specs: &[EngineSpec],
    policy: Policy,
    scenario: Scenario,
    seed: u64,
) -> RunResult {
    let mut simulation = Simulation::new(trace, specs, policy, scenario, seed);
    simulation.schedule_initial_events(specs, scenario);
    let warm = MonoTime::ZERO + WARM_UP;
    let done_before = simulation.run_until(warm);
    let end = MonoTime::ZERO + DURATION;
    let done = simulation.run_until(end) - done_before;
    let details = simulation.scheduler.describe(simulation.now);
    simulation.run_until(end + COMPLETION_TIME);
    let capacity = end.since(warm).as_secs_f64() * specs.len() as f64;
    RunResult {
        timelines: simulation.timelines,
        gaps: simulation.gaps,
        utilisation: done / capacity,
        details,
    }
}

impl<'a> Simulation<'a> {
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
            message_delay: policy.message_delay(),
            report_age: scenario.report_age(),
            engines: specs.iter().cloned().map(Engine::new).collect(),
            by_name: names.iter().cloned().enumerate().map(|(n, name)| (name, n)).collect(),
            names,
            by_id: trace.iter().enumerate().map(|(n, a)| (a.record.id, n)).collect(),
            timelines: vec![RequestTimeline::default(); trace.len()],
            gaps: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            now: MonoTime::ZERO,
            rng: StdRng::seed_from_u64(seed),
            actions: Vec::new(),
            engine_events: Vec::new(),
        }
    }

    fn schedule_initial_events(&mut self, specs: &[EngineSpec], scenario: Scenario) {
        for (number, spec) in specs.iter().enumerate() {
            let runner = RunnerSpec {
                name: self.names[number].clone(),
                data_centre: spec.data_centre.parse().expect("a valid name"),
                initial_limit: INITIAL_LIMIT,
                engine: true,
                leaving: false,
            };
            self.schedule(MonoTime::ZERO, Event::SchedulerInput(PoolInput::RunnerUpdated(runner)));
            self.schedule(MonoTime::ZERO + REPORT_INTERVAL, Event::Report(number));
        }
        for (number, arrival) in self.trace.iter().enumerate() {
            self.schedule(arrival.at, Event::Arrive(number));
        }
        match scenario {
            Scenario::SlowEngine => {
                self.schedule(MonoTime::ZERO + DISTURBANCE.0, Event::SetSlowdown(SLOWDOWN));
                self.schedule(MonoTime::ZERO + DISTURBANCE.1, Event::SetSlowdown(1.0));
            }
            Scenario::RunnerLost => {
                self.schedule(MonoTime::ZERO + DISTURBANCE.0, Event::CrashEngine)
            }
            Scenario::Burst | Scenario::StaleReports | Scenario::Steady => {}
        }
    }

    /// Runs until a time. Returns the least engine seconds for all tokens that
    /// were processed since the start.
    fn run_until(&mut self, end: MonoTime) -> f64 {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.apply(event);
        }
        self.engines.iter().map(|e| e.spec.min_seconds(e.prefilled as f64, e.decoded as f64)).sum()
    }

    pub(super) fn schedule(&mut self, at: MonoTime, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    pub(super) fn send_to_scheduler(&mut self, input: PoolInput) {
        self.schedule(self.now + self.message_delay, Event::SchedulerInput(input));
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => {
                self.send_to_scheduler(PoolInput::Submit(self.trace[request].record.clone()));
            }
            Event::SchedulerInput(input) => self.handle_input(input),
            Event::EntryAction(PoolAction::Grant { grant, .. }) => self.dispatch(&grant),
            Event::EntryAction(PoolAction::Refuse { id, reason, .. }) => {
                let request = self.by_id[&id];
                self.timelines[request].refused = Some(reason);
            }
            Event::EntryAction(PoolAction::SetTimer(_)) => {}
            Event::ReachEngine { engine, request } => self.reach_engine(engine, request),
            Event::StepEnd(engine) => self.step_end(engine),
            Event::Token { request, first, last } => self.receive_token(request, first, last),
            Event::ConnectionLost(request) => {
                self.timelines[request].failed = true;
                let id = self.trace[request].record.id;
                self.send_to_scheduler(PoolInput::Ended { id, end: DispatchEnd::Failed });
            }
            Event::Report(engine) => self.send_report(engine),
            Event::SetSlowdown(factor) => self.engines[DISTURBED_ENGINE].slowdown = factor,
            Event::CrashEngine => self.crash_engine(),
        }
    }

    fn handle_input(&mut self, input: PoolInput) {
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.handle(self.now, input, &mut actions);
        for action in actions.drain(..) {
            match action {
                PoolAction::SetTimer(at) => {
                    self.schedule(at, Event::SchedulerInput(PoolInput::Tick))
                }
                action => self.schedule(self.now + self.message_delay, Event::EntryAction(action)),
            }
        }
        self.actions = actions;
    }

    fn dispatch(&mut self, grant: &Grant) {
        let request = self.by_id[&grant.id];
        let engine = self.by_name[&grant.runner];
        if !self.engines[engine].alive {
            let reason = RetryReason::ConnectRefused;
            let input = PoolInput::GrantUnused { id: grant.id, reason };
            self.schedule(
                self.now + ENGINE_DELAY * 2 + self.message_delay,
                Event::SchedulerInput(input),
            );
            return;
        }
        let timeline = &mut self.timelines[request];
        assert!(timeline.dispatched_at.is_none(), "{} was dispatched twice", grant.id);
        timeline.dispatched_at = Some(self.now);
        timeline.engine = engine;
        self.send_to_scheduler(PoolInput::Dispatched(grant.id));
        self.schedule(self.now + ENGINE_DELAY, Event::ReachEngine { engine, request });
    }
}

//! Compares the real pool with the naive version over generated event sequences.

#![allow(clippy::unwrap_used)]

mod naive_pool;
mod pool_fixture;

use std::{collections::BTreeSet, time::Duration};

use comfreyway_core::{
    ids::{RequestId, RunnerName},
    outcome::RetryReason,
    pool::{CacheEvent, LoadReport, PoolAction, PoolInput},
    request::{BlockHash, DispatchEnd, Target},
    time::MonoTime,
};
use proptest::{prelude::*, test_runner::RngSeed};

use self::{
    naive_pool::{NaivePool, TrackedState},
    pool_fixture::{Fixture, complete, entry, record, runner, settings, spec},
};

const RUNNERS: u8 = 4;
const MAX_WAITING: usize = 12;
const SHARE_WINDOW: u64 = 5_000;

#[derive(Clone, Debug)]
enum Event {
    Submit { tier: u8, workspace: u8, prefill: u32, target_ms: u64, entry: u8 },
    Dispatch(usize),
    FirstToken(usize),
    Complete(usize, u32),
    Fail(usize),
    GrantUnused(usize, RetryReason),
    Withdraw(usize),
    EntryDown(u8),
    RunnerUpdated(u8, u32),
    RunnerLeaving(u8),
    RunnerRemoved(u8),
    Load(u8, LoadReport),
    Cache(u8, CacheEvent),
    AdvanceTime(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let prefill = prop_oneof![Just(200), Just(1_000), Just(20_000)];
    let submit = (0..4_u8, 0..3_u8, prefill, 200..20_000_u64, 0..3_u8).prop_map(
        |(tier, workspace, prefill, target_ms, entry)| Event::Submit {
            tier,
            workspace,
            prefill,
            target_ms,
            entry,
        },
    );
    let reason = prop::sample::select(RetryReason::ALL);
    let report = (0..30_u32, 0..4_u32, 0..90_000_u64, 0..6_000_u64).prop_map(
        |(running, queued, tokens, age_ms)| LoadReport {
            running,
            queued,
            tokens,
            age: Duration::from_millis(age_ms),
        },
    );
    let blocks = prop::collection::vec((0..2_000_u64).prop_map(BlockHash), 0..6);
    let cache = prop_oneof![
        4 => blocks.clone().prop_map(CacheEvent::Stored),
        2 => blocks.prop_map(CacheEvent::Evicted),
        1 => Just(CacheEvent::Reset),
    ];
    prop_oneof![
        12 => submit,
        8 => any::<usize>().prop_map(Event::Dispatch),
        8 => any::<usize>().prop_map(Event::FirstToken),
        8 => (any::<usize>(), 1..400_u32).prop_map(|(n, tokens)| Event::Complete(n, tokens)),
        1 => any::<usize>().prop_map(Event::Fail),
        3 => (any::<usize>(), reason).prop_map(|(n, reason)| Event::GrantUnused(n, reason)),
        1 => any::<usize>().prop_map(Event::Withdraw),
        1 => (0..3_u8).prop_map(Event::EntryDown),
        3 => (0..RUNNERS, 1..8_u32).prop_map(|(n, limit)| Event::RunnerUpdated(n, limit)),
        1 => (0..RUNNERS).prop_map(Event::RunnerLeaving),
        1 => (0..RUNNERS).prop_map(Event::RunnerRemoved),
        2 => (0..RUNNERS, report).prop_map(|(n, report)| Event::Load(n, report)),
        2 => (0..RUNNERS, cache).prop_map(|(n, event)| Event::Cache(n, event)),
        8 => (1..800_u64).prop_map(Event::AdvanceTime),
    ]
}

struct Comparison {
    fixture: Fixture,
    naive: NaivePool,
    engines: bool,
    shared_prefixes: bool,
    next_id: u128,
    timers: BTreeSet<MonoTime>,
    log: Vec<PoolAction>,
}

impl Comparison {
    fn new(engines: bool) -> Self {
        let settings =
            settings().with_max_waiting(MAX_WAITING, 1 << 30).with_share_window(SHARE_WINDOW);
        let mut comparison = Self {
            fixture: Fixture::new(settings),
            naive: NaivePool::new(SHARE_WINDOW, MAX_WAITING),
            engines,
            shared_prefixes: false,
            next_id: 1,
            timers: BTreeSet::new(),
            log: Vec::new(),
        };
        (0..RUNNERS).for_each(|n| comparison.apply(&Event::RunnerUpdated(n, 3)));
        comparison
    }

    fn apply(&mut self, event: &Event) {
        let is_granted = |state: &TrackedState| matches!(state, TrackedState::Granted(_));
        let is_dispatched = |state: &TrackedState| matches!(state, TrackedState::Dispatched(_));
        let is_waiting = |state: &TrackedState| *state == TrackedState::Waiting;
        match event {
            Event::Submit { .. } => self.submit(event),
            Event::Dispatch(n) => {
                let Some(id) = self.pick(*n, is_granted) else { return };
                let runner = self.runner_of(id);
                self.naive.set(id, TrackedState::Dispatched(runner));
                self.step(PoolInput::Dispatched(id));
            }
            Event::FirstToken(n) => {
                let Some(id) = self.pick(*n, is_dispatched) else { return };
                self.step(PoolInput::FirstToken(id));
            }
            Event::Complete(n, tokens) => {
                let Some(id) = self.pick(*n, is_dispatched) else { return };
                let prefill = self.naive.requests[&id].record.prefill_tokens;
                self.end(id, complete(prefill, *tokens, 100, 100 + u64::from(*tokens) * 30));
            }
            Event::Fail(n) => {
                let Some(id) = self.pick(*n, is_dispatched) else { return };
                self.end(id, DispatchEnd::Failed);
            }
            Event::GrantUnused(n, reason) => {
                let Some(id) = self.pick(*n, is_granted) else { return };
                if *reason == RetryReason::RunnerLeaving {
                    let runner = self.runner_of(id);
                    self.naive.runners.entry(runner).and_modify(|up| *up = false);
                }
                let connect =
                    matches!(reason, RetryReason::ConnectRefused | RetryReason::ConnectTimeout);
                let budget_spent = connect && self.fixture.pool.retries_left() == 0;
                self.handle(
                    PoolInput::GrantUnused { id, reason: *reason },
                    None,
                    Some((id, budget_spent)),
                );
            }
            Event::Withdraw(n) => {
                let Some(id) = self.pick(*n, is_waiting) else { return };
                self.naive.set(id, TrackedState::Done);
                self.step(PoolInput::Withdraw(id));
            }
            Event::EntryDown(n) => {
                self.naive.entry_down(&entry(*n));
                self.end_granted_requests(*n);
                self.step(PoolInput::EntryDown(entry(*n)));
            }
            Event::RunnerUpdated(n, limit) => {
                self.naive.runners.insert(runner(*n), true);
                self.step(PoolInput::RunnerUpdated(spec(*n, *limit, self.engines)));
            }
            Event::RunnerLeaving(n) => {
                self.naive.runners.entry(runner(*n)).and_modify(|up| *up = false);
                self.step(PoolInput::RunnerLeaving(runner(*n)));
            }
            Event::RunnerRemoved(n) => {
                self.naive.remove_runner(&runner(*n));
                self.step(PoolInput::RunnerRemoved(runner(*n)));
            }
            Event::Load(n, report) => {
                self.step(PoolInput::Load { runner: runner(*n), report: *report });
            }
            Event::Cache(n, event) => {
                self.step(PoolInput::Cache { runner: runner(*n), event: event.clone() });
            }
            Event::AdvanceTime(ms) => self.advance_time(*ms),
        }
    }

    fn submit(&mut self, event: &Event) {
        let &Event::Submit { tier, workspace, prefill, target_ms, entry: host } = event else {
            return;
        };
        let mut record = record(self.next_id, tier, if self.engines { prefill } else { 0 });
        self.next_id += 1;
        record.workspace = format!("ws-{workspace}").parse().unwrap();
        record.entry = entry(host);
        if self.shared_prefixes {
            let blocks = record.prefill_tokens / 256;
            let block = |n| BlockHash(u64::from(workspace) << 8 | u64::from(n));
            record.prefix = (0..blocks).map(block).collect();
        }
        record.target = Target::Stream {
            first_token: Duration::from_millis(target_ms),
            between_tokens: Duration::from_millis(80),
        };
        self.naive.submit(&record);
        let id = record.id;
        self.handle(PoolInput::Submit(record), Some(id), None);
    }

    fn end(&mut self, id: RequestId, end: DispatchEnd) {
        self.naive.set(id, TrackedState::Done);
        self.step(PoolInput::Ended { id, end });
    }

    /// Ends the granted requests of an entry that is down.
    fn end_granted_requests(&mut self, host: u8) {
        let ids =
            self.naive.ids(|s| matches!(s, TrackedState::Granted(_) | TrackedState::Dispatched(_)));
        for id in ids {
            if self.naive.requests[&id].record.entry == entry(host) {
                self.naive.set(id, TrackedState::Done);
            }
        }
    }

    /// Advances the time and handles every timer that the pool has set.
    fn advance_time(&mut self, ms: u64) {
        let end = self.fixture.now + Duration::from_millis(ms);
        while let Some(at) = self.timers.pop_first() {
            if at > end {
                self.timers.insert(at);
                break;
            }
            self.fixture.now = at;
            self.step(PoolInput::Tick);
        }
        self.fixture.now = end;
        self.step(PoolInput::Tick);
    }

    fn check_invariants(&self) {
        let pool = &self.fixture.pool;
        let sizes = pool.sizes();
        let waiting = self.naive.ids(|state| *state == TrackedState::Waiting).len();
        assert_eq!(sizes.waiting, waiting, "waiting requests");
        assert!(sizes.waiting <= MAX_WAITING, "the queue is bounded");
        let deferrals = if self.shared_prefixes { sizes.waiting } else { 0 };
        let max_timers = sizes.waiting + deferrals + sizes.in_progress + usize::from(RUNNERS);
        assert!(sizes.timers <= max_timers, "one timer per request, deferral and runner");
        assert!(sizes.workspaces <= 3 * 4 * 2, "shares are bounded");
        self.check_limits();
        if !self.shared_prefixes {
            self.check_work_conservation();
        }
    }

    /// Checks that no runner with a grant of this step is over its limit.
    fn check_limits(&self) {
        let granted = self.fixture.grants();
        for view in self.fixture.pool.runners(self.fixture.now) {
            if granted.iter().any(|(_, name)| *name == view.name) {
                assert!(
                    view.in_progress + view.external_sequences <= view.sequence_limit,
                    "{view:?}"
                );
            }
        }
    }

    /// Checks that no short request waits while a runner has capacity for it.
    fn check_work_conservation(&self) {
        let pool = &self.fixture.pool;
        for view in pool.runners(self.fixture.now) {
            let reserve = view.sequence_limit.div_ceil(10);
            let usable = (view.sequence_limit - reserve).max(1);
            let has_capacity = view.in_progress + view.external_sequences < usable
                && view.tokens < view.token_limit
                && view.wait <= Duration::from_millis(150);
            if has_capacity && !view.leaving && !view.paused {
                let short = pool.tiers().iter().map(|t| t.waiting - t.waiting_long).sum::<usize>();
                assert_eq!(
                    short, 0,
                    "a short request waits although this runner has capacity: {view:?}"
                );
            }
        }
    }

    /// Ends all requests and checks that each one had an outcome.
    fn finish(&mut self) {
        for _ in 0..8 {
            for id in self.naive.ids(|state| matches!(state, TrackedState::Granted(_))) {
                let runner = self.runner_of(id);
                self.naive.set(id, TrackedState::Dispatched(runner));
                self.step(PoolInput::Dispatched(id));
            }
            for id in self.naive.ids(|state| matches!(state, TrackedState::Dispatched(_))) {
                self.end(id, complete(100, 10, 100, 400));
            }
            self.advance_time(40_000);
        }
        let open = self.naive.ids(|state| *state != TrackedState::Done);
        assert_eq!(open, Vec::new(), "requests without an outcome");
        assert_eq!(self.fixture.pool.in_progress(), 0, "load that is never released");
        assert_eq!(self.fixture.pool.sizes().timers, 0, "timers that are left");
    }

    fn step(&mut self, input: PoolInput) {
        self.handle(input, None, None);
    }

    fn handle(
        &mut self,
        input: PoolInput,
        new: Option<RequestId>,
        unused_grant: Option<(RequestId, bool)>,
    ) {
        self.fixture.step(input);
        let (now, actions) = (self.fixture.now, &self.fixture.actions);
        if let Some((id, budget_spent)) = unused_grant {
            self.naive.requeue(now, id, budget_spent, actions);
        }
        self.naive.expire_grants(now, actions);
        self.naive.record_rank(&self.fixture.pool, new);
        self.naive.check(self.fixture.now, &self.fixture.actions, new);
        let timers = self.fixture.actions.iter().filter_map(|action| match action {
            PoolAction::SetTimer(at) => Some(*at),
            PoolAction::Grant { .. } | PoolAction::Refuse { .. } => None,
        });
        self.timers.extend(timers);
        self.check_invariants();
        self.log.extend(self.fixture.actions.iter().cloned());
    }

    fn pick(&self, n: usize, wanted: fn(&TrackedState) -> bool) -> Option<RequestId> {
        let ids = self.naive.ids(wanted);
        (!ids.is_empty()).then(|| ids[n % ids.len()])
    }

    fn runner_of(&self, id: RequestId) -> RunnerName {
        match &self.naive.requests[&id].state {
            TrackedState::Granted(runner) | TrackedState::Dispatched(runner) => runner.clone(),
            TrackedState::Done | TrackedState::Waiting => panic!("{id} has no runner"),
        }
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5eed),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn engines_follow_the_naive_order(events in prop::collection::vec(event(), 1..160)) {
        let mut comparison = Comparison::new(true);
        events.iter().for_each(|event| comparison.apply(event));
        comparison.finish();
    }

    #[test]
    fn plain_services_follow_the_naive_order(events in prop::collection::vec(event(), 1..160)) {
        let mut comparison = Comparison::new(false);
        events.iter().for_each(|event| comparison.apply(event));
        comparison.finish();
    }

    #[test]
    fn shared_prefixes_keep_the_invariants(events in prop::collection::vec(event(), 1..160)) {
        let mut comparison = Comparison::new(true);
        comparison.shared_prefixes = true;
        comparison.naive.any_order = true;
        events.iter().for_each(|event| comparison.apply(event));
        comparison.finish();
    }

    #[test]
    fn equal_inputs_give_equal_actions(events in prop::collection::vec(event(), 1..80)) {
        let mut first = Comparison::new(true);
        let mut second = Comparison::new(true);
        for event in &events {
            first.apply(event);
            second.apply(event);
        }
        prop_assert_eq!(first.log, second.log);
    }
}

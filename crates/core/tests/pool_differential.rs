//! The real pool against the naive version, over generated event sequences.

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
    naive_pool::{NaivePool, State},
    pool_fixture::{Bench, complete, entry, record, runner, settings, spec},
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
    Unused(usize, RetryReason),
    Withdraw(usize),
    EntryGone(u8),
    Up(u8, u32),
    Leaving(u8),
    Gone(u8),
    Load(u8, LoadReport),
    Cache(u8, CacheEvent),
    Pass(u64),
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
        3 => (any::<usize>(), reason).prop_map(|(n, reason)| Event::Unused(n, reason)),
        1 => any::<usize>().prop_map(Event::Withdraw),
        1 => (0..3_u8).prop_map(Event::EntryGone),
        3 => (0..RUNNERS, 1..8_u32).prop_map(|(n, limit)| Event::Up(n, limit)),
        1 => (0..RUNNERS).prop_map(Event::Leaving),
        1 => (0..RUNNERS).prop_map(Event::Gone),
        2 => (0..RUNNERS, report).prop_map(|(n, report)| Event::Load(n, report)),
        2 => (0..RUNNERS, cache).prop_map(|(n, event)| Event::Cache(n, event)),
        8 => (1..800_u64).prop_map(Event::Pass),
    ]
}

struct Run {
    bench: Bench,
    naive: NaivePool,
    engines: bool,
    shared_prefixes: bool,
    next_id: u128,
    timers: BTreeSet<MonoTime>,
    log: Vec<PoolAction>,
}

impl Run {
    fn new(engines: bool) -> Self {
        let settings =
            settings().with_max_waiting(MAX_WAITING, 1 << 30).with_share_window(SHARE_WINDOW);
        let mut run = Self {
            bench: Bench::new(settings),
            naive: NaivePool::new(SHARE_WINDOW, MAX_WAITING),
            engines,
            shared_prefixes: false,
            next_id: 1,
            timers: BTreeSet::new(),
            log: Vec::new(),
        };
        (0..RUNNERS).for_each(|n| run.apply(&Event::Up(n, 3)));
        run
    }

    fn apply(&mut self, event: &Event) {
        let granted = |state: &State| matches!(state, State::Granted(_));
        let running = |state: &State| matches!(state, State::Dispatched(_));
        let waiting = |state: &State| *state == State::Waiting;
        match event {
            Event::Submit { .. } => self.submit(event),
            Event::Dispatch(n) => {
                let Some(id) = self.pick(*n, granted) else { return };
                let runner = self.runner_of(id);
                self.naive.set(id, State::Dispatched(runner));
                self.step(PoolInput::Dispatched(id));
            }
            Event::FirstToken(n) => {
                let Some(id) = self.pick(*n, running) else { return };
                self.step(PoolInput::FirstToken(id));
            }
            Event::Complete(n, tokens) => {
                let Some(id) = self.pick(*n, running) else { return };
                let prefill = self.naive.requests[&id].record.prefill_tokens;
                self.end(id, complete(prefill, *tokens, 100, 100 + u64::from(*tokens) * 30));
            }
            Event::Fail(n) => {
                let Some(id) = self.pick(*n, running) else { return };
                self.end(id, DispatchEnd::Failed);
            }
            Event::Unused(n, reason) => {
                let Some(id) = self.pick(*n, granted) else { return };
                if *reason == RetryReason::RunnerLeaving {
                    let runner = self.runner_of(id);
                    self.naive.runners.entry(runner).and_modify(|up| *up = false);
                }
                let connect =
                    matches!(reason, RetryReason::ConnectRefused | RetryReason::ConnectTimeout);
                let spent = connect && self.bench.pool.retries_left() == 0;
                self.handle(
                    PoolInput::GrantUnused { id, reason: *reason },
                    None,
                    Some((id, spent)),
                );
            }
            Event::Withdraw(n) => {
                let Some(id) = self.pick(*n, waiting) else { return };
                self.naive.set(id, State::Done);
                self.step(PoolInput::Withdraw(id));
            }
            Event::EntryGone(n) => {
                self.naive.entry_gone(&entry(*n));
                self.lose_flights(*n);
                self.step(PoolInput::EntryDown(entry(*n)));
            }
            Event::Up(n, limit) => {
                self.naive.runners.insert(runner(*n), true);
                self.step(PoolInput::RunnerUpdated(spec(*n, *limit, self.engines)));
            }
            Event::Leaving(n) => {
                self.naive.runners.entry(runner(*n)).and_modify(|up| *up = false);
                self.step(PoolInput::RunnerLeaving(runner(*n)));
            }
            Event::Gone(n) => {
                self.naive.runner_gone(&runner(*n));
                self.step(PoolInput::RunnerRemoved(runner(*n)));
            }
            Event::Load(n, report) => {
                self.step(PoolInput::Load { runner: runner(*n), report: *report });
            }
            Event::Cache(n, event) => {
                self.step(PoolInput::Cache { runner: runner(*n), event: event.clone() });
            }
            Event::Pass(ms) => self.pass(*ms),
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
        self.naive.set(id, State::Done);
        self.step(PoolInput::Ended { id, end });
    }

    /// Requests granted to a lost entry end there.
    fn lose_flights(&mut self, host: u8) {
        let ids = self.naive.ids(|s| matches!(s, State::Granted(_) | State::Dispatched(_)));
        for id in ids {
            if self.naive.requests[&id].record.entry == entry(host) {
                self.naive.set(id, State::Done);
            }
        }
    }

    /// Lets time pass, and wakes the pool whenever it asked for it.
    fn pass(&mut self, ms: u64) {
        let end = self.bench.now + Duration::from_millis(ms);
        while let Some(at) = self.timers.pop_first() {
            if at > end {
                self.timers.insert(at);
                break;
            }
            self.bench.now = at;
            self.step(PoolInput::Tick);
        }
        self.bench.now = end;
        self.step(PoolInput::Tick);
    }

    fn check_invariants(&self) {
        let pool = &self.bench.pool;
        let sizes = pool.sizes();
        let waiting = self.naive.ids(|state| *state == State::Waiting).len();
        assert_eq!(sizes.waiting, waiting, "waiting requests");
        assert!(sizes.waiting <= MAX_WAITING, "the queue is bounded");
        let holds = if self.shared_prefixes { sizes.waiting } else { 0 };
        let holders = sizes.waiting + holds + sizes.in_progress + usize::from(RUNNERS);
        assert!(sizes.timers <= holders, "one timer per request, hold and runner");
        assert!(sizes.workspaces <= 3 * 4 * 2, "shares are bounded");
        self.check_limits();
        if !self.shared_prefixes {
            self.check_work_conservation();
        }
    }

    /// No runner that was granted work in this step is over its limit.
    fn check_limits(&self) {
        let granted = self.bench.grants();
        for view in self.bench.pool.runners(self.bench.now) {
            if granted.iter().any(|(_, name)| *name == view.name) {
                assert!(
                    view.in_progress + view.external_sequences <= view.sequence_limit,
                    "{view:?}"
                );
            }
        }
    }

    /// No short request waits while a runner has room for it.
    fn check_work_conservation(&self) {
        let pool = &self.bench.pool;
        for view in pool.runners(self.bench.now) {
            let reserve = view.sequence_limit.div_ceil(10);
            let usable = (view.sequence_limit - reserve).max(1);
            let room = view.in_progress + view.external_sequences < usable
                && view.tokens < view.token_limit
                && view.wait <= Duration::from_millis(150);
            if room && !view.leaving && !view.paused {
                let short = pool.tiers().iter().map(|t| t.waiting - t.waiting_long).sum::<usize>();
                assert_eq!(short, 0, "a short request waits beside {view:?}");
            }
        }
    }

    /// Ends everything and checks that each request had one outcome.
    fn finish(&mut self) {
        for _ in 0..8 {
            for id in self.naive.ids(|state| matches!(state, State::Granted(_))) {
                let runner = self.runner_of(id);
                self.naive.set(id, State::Dispatched(runner));
                self.step(PoolInput::Dispatched(id));
            }
            for id in self.naive.ids(|state| matches!(state, State::Dispatched(_))) {
                self.end(id, complete(100, 10, 100, 400));
            }
            self.pass(40_000);
        }
        let open = self.naive.ids(|state| *state != State::Done);
        assert_eq!(open, Vec::new(), "requests without an outcome");
        assert_eq!(self.bench.pool.in_progress(), 0, "load that is never released");
        assert_eq!(self.bench.pool.sizes().timers, 0, "timers that are left");
    }

    fn step(&mut self, input: PoolInput) {
        self.handle(input, None, None);
    }

    fn handle(
        &mut self,
        input: PoolInput,
        new: Option<RequestId>,
        returned: Option<(RequestId, bool)>,
    ) {
        self.bench.step(input);
        let (now, actions) = (self.bench.now, &self.bench.actions);
        if let Some((id, spent)) = returned {
            self.naive.wait_again(now, id, spent, actions);
        }
        self.naive.expire_grants(now, actions);
        self.naive.read_ranks(&self.bench.pool, new);
        self.naive.check(self.bench.now, &self.bench.actions, new);
        let timers = self.bench.actions.iter().filter_map(|action| match action {
            PoolAction::SetTimer(at) => Some(*at),
            PoolAction::Grant { .. } | PoolAction::Refuse { .. } => None,
        });
        self.timers.extend(timers);
        self.check_invariants();
        self.log.extend(self.bench.actions.iter().cloned());
    }

    fn pick(&self, n: usize, wanted: fn(&State) -> bool) -> Option<RequestId> {
        let ids = self.naive.ids(wanted);
        (!ids.is_empty()).then(|| ids[n % ids.len()])
    }

    fn runner_of(&self, id: RequestId) -> RunnerName {
        match &self.naive.requests[&id].state {
            State::Granted(runner) | State::Dispatched(runner) => runner.clone(),
            State::Done | State::Waiting => panic!("{id} has no runner"),
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
        let mut run = Run::new(true);
        events.iter().for_each(|event| run.apply(event));
        run.finish();
    }

    #[test]
    fn plain_services_follow_the_naive_order(events in prop::collection::vec(event(), 1..160)) {
        let mut run = Run::new(false);
        events.iter().for_each(|event| run.apply(event));
        run.finish();
    }

    #[test]
    fn shared_prefixes_keep_the_promises(events in prop::collection::vec(event(), 1..160)) {
        let mut run = Run::new(true);
        run.shared_prefixes = true;
        run.naive.any_order = true;
        events.iter().for_each(|event| run.apply(event));
        run.finish();
    }

    #[test]
    fn equal_inputs_give_equal_actions(events in prop::collection::vec(event(), 1..80)) {
        let mut first = Run::new(true);
        let mut second = Run::new(true);
        for event in &events {
            first.apply(event);
            second.apply(event);
        }
        prop_assert_eq!(first.log, second.log);
    }
}

//! Short constructors for the pool tests.

#![allow(clippy::unwrap_used, dead_code)]

use std::time::Duration;

use comfreyway_core::{
    ids::{Epoch, HostId, PoolId, RequestId, RunnerName, Tier},
    outcome::NotRunReason,
    pool::{Pool, PoolAction, PoolInput, PoolSettings, RunnerSpec},
    request::{BlockHash, DispatchEnd, RequestRecord, Target, Usage},
    time::MonoTime,
};

/// Settings of the pool under test.
pub(crate) fn settings() -> PoolSettings {
    let pool = PoolId { upstream: "llm".parse().unwrap(), region: "almaty".parse().unwrap() };
    PoolSettings::new(pool, Epoch { issued: 1, provisional: 0 })
}

/// An entry host.
pub(crate) fn entry(number: u8) -> HostId {
    HostId { name: format!("entry-{number}").parse().unwrap(), incarnation: 1 }
}

/// Name of a runner.
pub(crate) fn runner(number: u8) -> RunnerName {
    format!("runner-{number}").parse().unwrap()
}

/// Description of a runner.
pub(crate) fn spec(number: u8, initial_limit: u32, engine: bool) -> RunnerSpec {
    let data_centre = "alatau".parse().unwrap();
    RunnerSpec { name: runner(number), data_centre, initial_limit, engine, leaving: false }
}

/// A streamed request of a tier with ten seconds to the first token.
pub(crate) fn record(id: u128, tier: u8, prefill_tokens: u32) -> RequestRecord {
    let blocks = prefill_tokens / 256;
    RequestRecord {
        id: RequestId::new(id),
        entry: entry(1),
        workspace: "hr".parse().unwrap(),
        class: "summary".parse().unwrap(),
        tier: Tier(tier),
        target: Target::Stream {
            first_token: Duration::from_secs(10),
            between_tokens: Duration::from_millis(80),
        },
        age: Duration::ZERO,
        prefill_tokens,
        max_decode_tokens: None,
        prefix: (0..blocks).map(|n| BlockHash((id as u64) << 16 | u64::from(n))).collect(),
        prefix_tokens: Vec::new(),
        length_hint: None,
        body_bytes: 100,
    }
}

/// A complete response.
pub(crate) fn complete(prefill: u32, decode: u32, first_ms: u64, total_ms: u64) -> DispatchEnd {
    DispatchEnd::Complete(Usage {
        prefill_tokens: prefill,
        cached_tokens: 0,
        decode_tokens: decode,
        first_token: Duration::from_millis(first_ms),
        total: Duration::from_millis(total_ms),
        until_close: false,
        failed: false,
    })
}

/// A pool with the time and the actions of its last step.
pub(crate) struct Fixture {
    pub(crate) pool: Pool,
    pub(crate) now: MonoTime,
    pub(crate) actions: Vec<PoolAction>,
}

impl Fixture {
    pub(crate) fn new(settings: PoolSettings) -> Self {
        Self { pool: Pool::new(settings), now: MonoTime::from_millis(1_000), actions: Vec::new() }
    }

    /// Handles one input and stores the actions.
    pub(crate) fn step(&mut self, input: PoolInput) -> &mut Self {
        self.actions.clear();
        self.pool.handle(self.now, input, &mut self.actions);
        self
    }

    pub(crate) fn submit(&mut self, record: &RequestRecord) -> &mut Self {
        self.step(PoolInput::Submit(record.clone()))
    }

    /// Advances the time and handles due timers.
    pub(crate) fn advance_time(&mut self, ms: u64) -> &mut Self {
        self.now = self.now + Duration::from_millis(ms);
        self.step(PoolInput::Tick)
    }

    /// Grants of the last step.
    pub(crate) fn grants(&self) -> Vec<(u128, RunnerName)> {
        let grants = self.actions.iter().filter_map(|action| match action {
            PoolAction::Grant { grant, .. } => Some((grant.id.value(), grant.runner.clone())),
            PoolAction::Refuse { .. } | PoolAction::SetTimer(_) => None,
        });
        grants.collect()
    }

    /// Refusals of the last step.
    pub(crate) fn refusals(&self) -> Vec<(u128, NotRunReason)> {
        let refusals = self.actions.iter().filter_map(|action| match action {
            PoolAction::Refuse { id, reason, .. } => Some((id.value(), *reason)),
            PoolAction::Grant { .. } | PoolAction::SetTimer(_) => None,
        });
        refusals.collect()
    }
}

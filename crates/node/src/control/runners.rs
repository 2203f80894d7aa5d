//! The runners of every pool, from the configuration.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use comfreyway_core::{
    config::{Document, Runner, Upstream, UpstreamKind},
    ids::{PoolId, RunnerName, UpstreamName},
    pool::{PoolInput, RunnerSpec},
};

use crate::reports::WatchedRunner;

/// Limit on the requests in progress at a runner before anything is known of it.
const INITIAL_LIMIT: u32 = 4;

/// Changes that a new configuration makes to the pools.
#[derive(Debug, Default)]
pub(crate) struct PoolChanges {
    pub(crate) removed_pools: Vec<PoolId>,
    pub(crate) inputs: Vec<(PoolId, PoolInput)>,
}

/// One runner of a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
struct KnownRunner {
    spec: RunnerSpec,
    address: SocketAddr,
    /// Leaving according to the configuration.
    leaving: bool,
    /// Leaving according to the host list or the runner's own responses.
    reported_leaving: bool,
}

impl KnownRunner {
    fn is_leaving(&self) -> bool {
        self.leaving || self.reported_leaving
    }
}

type Runners = BTreeMap<RunnerName, KnownRunner>;

/// The runners of every pool.
#[derive(Debug, Default)]
pub(crate) struct PoolRunners {
    pools: BTreeMap<PoolId, Runners>,
}

impl PoolRunners {
    /// Returns the address of a runner.
    pub(crate) fn address(&self, pool: &PoolId, runner: &RunnerName) -> Option<SocketAddr> {
        self.pools.get(pool)?.get(runner).map(|known| known.address)
    }

    /// Returns the inputs that add every runner to a pool that is newly owned.
    pub(crate) fn inputs(&self, pool: &PoolId) -> Vec<PoolInput> {
        let runners = self.pools.get(pool).into_iter().flat_map(BTreeMap::values);
        runners.map(input_for).collect()
    }

    /// Returns the names of all pools.
    pub(crate) fn pools(&self) -> BTreeSet<PoolId> {
        self.pools.keys().cloned().collect()
    }

    /// Returns the runners to poll: every runner of the pools in `owned`.
    pub(crate) fn watched_runners<'a, I>(&self, owned: I) -> Vec<WatchedRunner>
    where
        I: IntoIterator<Item = &'a PoolId>,
    {
        let pool_runners = |pool: &PoolId| {
            let runners = self.pools.get(pool).into_iter().flatten();
            runners.map(|(name, known)| watched_runner(pool, name, known)).collect::<Vec<_>>()
        };
        owned.into_iter().flat_map(pool_runners).collect()
    }

    /// Records whether the runner is leaving according to the host list or its
    /// own responses, and returns the inputs for the pool's owner.
    pub(crate) fn set_reported_leaving(
        &mut self,
        pool: &PoolId,
        runner: &RunnerName,
        leaving: bool,
    ) -> Vec<PoolInput> {
        let known = self.pools.get_mut(pool).and_then(|runners| runners.get_mut(runner));
        let Some(known) = known else { return Vec::new() };
        known.reported_leaving = leaving;
        vec![input_for(known)]
    }

    /// Returns the input that puts a runner back into use, unless any source says
    /// that it is leaving.
    pub(crate) fn return_input(&self, pool: &PoolId, runner: &RunnerName) -> Option<PoolInput> {
        let known = self.pools.get(pool)?.get(runner)?;
        (!known.is_leaving()).then(|| input_for(known))
    }

    /// Applies a new configuration and returns the changes.
    pub(crate) fn update(&mut self, document: &Document) -> PoolChanges {
        let mut new = pools_of(document);
        self.keep_reported_leaving(&mut new);
        let mut changes = PoolChanges::default();
        let old_keys: BTreeSet<_> = self.pools.keys().cloned().collect();
        let new_keys: BTreeSet<_> = new.keys().cloned().collect();
        changes.removed_pools.extend(old_keys.difference(&new_keys).cloned());
        for (pool, runners) in &new {
            let old = self.pools.get(pool);
            changes.inputs.extend(changed_runners(pool, old, runners));
        }
        self.pools = new;
        changes
    }

    /// Keeps the reported state of runners whose address has not changed.
    fn keep_reported_leaving(&self, new: &mut BTreeMap<PoolId, Runners>) {
        for (pool, runners) in new {
            for (name, known) in runners {
                let old = self.pools.get(pool).and_then(|runners| runners.get(name));
                let same = old.filter(|old| old.address == known.address);
                known.reported_leaving = same.is_some_and(|old| old.reported_leaving);
            }
        }
    }
}

fn watched_runner(pool: &PoolId, name: &RunnerName, known: &KnownRunner) -> WatchedRunner {
    WatchedRunner {
        pool: pool.clone(),
        name: name.clone(),
        address: known.address,
        engine: known.spec.engine,
    }
}

fn changed_runners(
    pool: &PoolId,
    old: Option<&Runners>,
    new: &Runners,
) -> Vec<(PoolId, PoolInput)> {
    let mut inputs = Vec::new();
    for (name, known) in new {
        if old.and_then(|runners| runners.get(name)) != Some(known) {
            inputs.push(input_for(known));
        }
    }
    for name in old.into_iter().flat_map(BTreeMap::keys) {
        if !new.contains_key(name) {
            inputs.push(PoolInput::RunnerRemoved(name.clone()));
        }
    }
    inputs.into_iter().map(|input| (pool.clone(), input)).collect()
}

fn input_for(known: &KnownRunner) -> PoolInput {
    PoolInput::RunnerUpdated(RunnerSpec { leaving: known.is_leaving(), ..known.spec.clone() })
}

fn pools_of(document: &Document) -> BTreeMap<PoolId, Runners> {
    let mut pools: BTreeMap<PoolId, Runners> = BTreeMap::new();
    for (name, upstream) in &document.upstreams {
        for (runner_name, runner) in &upstream.runners {
            if let Some(pool) = pool_of(document, name, runner) {
                let known = known_runner(upstream, runner_name, runner);
                pools.entry(pool).or_default().insert(runner_name.clone(), known);
            }
        }
    }
    pools
}

fn pool_of(document: &Document, upstream: &UpstreamName, runner: &Runner) -> Option<PoolId> {
    let data_centre = document.data_centres.get(&runner.data_centre)?;
    Some(PoolId { upstream: upstream.clone(), region: data_centre.region.clone() })
}

fn known_runner(upstream: &Upstream, name: &RunnerName, runner: &Runner) -> KnownRunner {
    let spec = RunnerSpec {
        name: name.clone(),
        data_centre: runner.data_centre.clone(),
        initial_limit: INITIAL_LIMIT,
        engine: upstream.kind == UpstreamKind::Engine,
        leaving: false,
    };
    KnownRunner { spec, address: runner.address, leaving: runner.leaving, reported_leaving: false }
}

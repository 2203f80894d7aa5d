//! The runners of every pool, derived from the configuration.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use comfreyway_core::{
    config::{Document, Runner, Upstream, UpstreamKind},
    ids::{PoolId, RunnerName, UpstreamName},
    pool::{PoolInput, RunnerSpec},
};

/// Requests in progress at a runner of which nothing is known yet.
const INITIAL_LIMIT: u32 = 4;

/// What a new configuration changes for the pools.
#[derive(Debug, Default)]
pub(crate) struct PoolChanges {
    pub(crate) new_pools: Vec<PoolId>,
    pub(crate) removed_pools: Vec<PoolId>,
    pub(crate) inputs: Vec<(PoolId, PoolInput)>,
}

/// One runner of a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
struct KnownRunner {
    spec: RunnerSpec,
    address: SocketAddr,
    leaving: bool,
}

type Runners = BTreeMap<RunnerName, KnownRunner>;

/// The runners of every pool.
#[derive(Debug, Default)]
pub(crate) struct PoolRunners {
    pools: BTreeMap<PoolId, Runners>,
}

impl PoolRunners {
    /// The address of a runner.
    pub(crate) fn address(&self, pool: &PoolId, runner: &RunnerName) -> Option<SocketAddr> {
        self.pools.get(pool)?.get(runner).map(|known| known.address)
    }

    /// Takes a new configuration and returns what changed.
    pub(crate) fn update(&mut self, document: &Document) -> PoolChanges {
        let new = pools_of(document);
        let mut changes = PoolChanges::default();
        let old_keys: BTreeSet<_> = self.pools.keys().cloned().collect();
        let new_keys: BTreeSet<_> = new.keys().cloned().collect();
        changes.new_pools.extend(new_keys.difference(&old_keys).cloned());
        changes.removed_pools.extend(old_keys.difference(&new_keys).cloned());
        for (pool, runners) in &new {
            let old = self.pools.get(pool);
            changes.inputs.extend(changed_runners(pool, old, runners));
        }
        self.pools = new;
        changes
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
            inputs.extend(inputs_for(known));
        }
    }
    for name in old.into_iter().flat_map(BTreeMap::keys) {
        if !new.contains_key(name) {
            inputs.push(PoolInput::RunnerGone(name.clone()));
        }
    }
    inputs.into_iter().map(|input| (pool.clone(), input)).collect()
}

fn inputs_for(known: &KnownRunner) -> Vec<PoolInput> {
    let mut inputs = vec![PoolInput::RunnerUp(known.spec.clone())];
    if known.leaving {
        inputs.push(PoolInput::RunnerLeaving(known.spec.name.clone()));
    }
    inputs
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
    };
    KnownRunner { spec, address: runner.address, leaving: runner.leaving }
}

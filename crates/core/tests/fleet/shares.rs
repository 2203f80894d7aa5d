//! Fair shares of workspaces while one of them floods full runners.

use std::{collections::BTreeMap, time::Duration};

use comfreyway_core::{
    fleet::{Decision, UpstreamScheduler},
    ids::WorkspaceName,
    request::{DispatchEnd, Usage},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

use crate::support::{at, id, name, record};

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 20_000;
/// The flood lasts from here to the end.
const FLOOD_MS: u64 = 6_000;
/// Time for which shares may lag behind demand.
const SETTLE_MS: u64 = 1_000;
/// What a workspace within its share may lose to a flood, of its requests.
const MAX_LOSS: f64 = 0.05;
const RUNNERS: usize = 12;
const SLOTS: u32 = 5;
/// Time that a request takes at a runner.
const SERVICE_MS: std::ops::Range<u64> = 200..1_000;
/// Requests a second that the runners can serve.
const CAPACITY_PER_S: f64 = 100.0;

/// What a workspace sends.
#[derive(Clone, Debug)]
struct Load {
    workspace: &'static str,
    weight: f64,
    /// Requests a second before and during the flood.
    per_s: (f64, f64),
}

/// Requests of a workspace during the flood, and those that started in time.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    sent: u32,
    started: u32,
    in_time: u32,
}

impl Served {
    fn share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }
}

fn play(seed: u64, loads: &[Load]) -> BTreeMap<&'static str, Served> {
    let mut rng = StdRng::seed_from_u64(seed);
    let weights = loads.iter().filter(|load| load.weight > 0.0);
    let weights = weights.map(|load| (load.workspace.parse().unwrap(), load.weight));
    let weights: BTreeMap<WorkspaceName, f64> = weights.collect();
    let mut scheduler = UpstreamScheduler::new(true).with_weights(weights);
    for runner in 0..RUNNERS {
        scheduler.set_runner(name(&format!("r{runner}")), SLOTS, false);
    }
    let mut served: BTreeMap<_, _> =
        loads.iter().map(|load| (load.workspace, Served::default())).collect();
    let mut sent = BTreeMap::new();
    let mut ends: BTreeMap<u64, Vec<u128>> = BTreeMap::new();
    let mut next = 0;
    for ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        let mut out = Vec::new();
        let later = ends.split_off(&(ms + 1));
        for number in std::mem::replace(&mut ends, later).into_values().flatten() {
            let total = Duration::from_millis(600);
            let first_token = Duration::from_millis(50);
            let usage = Usage { decode_tokens: 80, first_token, total, ..Usage::default() };
            scheduler.ended(at(ms), id(number), DispatchEnd::Complete(usage));
        }
        let is_counted = (FLOOD_MS + SETTLE_MS..LENGTH_MS - 1_000).contains(&ms);
        for load in loads {
            let per_s = if ms < FLOOD_MS { load.per_s.0 } else { load.per_s.1 };
            let mut due = per_s * STEP_MS as f64 / 1e3;
            while due > 0.0 && rng.random_bool(due.min(1.0)) {
                due -= 1.0;
                next += 1;
                let mut record = record(next, 1, 1_000);
                record.workspace = load.workspace.parse().unwrap();
                sent.insert(next, (load.workspace, ms, is_counted));
                if is_counted {
                    served.get_mut(load.workspace).unwrap().sent += 1;
                }
                scheduler.submit(at(ms), record, Duration::from_secs(8), None, &mut out);
            }
        }
        scheduler.tick(at(ms), &mut out);
        for decision in out {
            let Decision::Grant(_, granted, _) = decision else { continue };
            let (workspace, sent_ms, is_counted) = sent[&granted.value()];
            if is_counted {
                let served = served.get_mut(workspace).unwrap();
                served.started += 1;
                served.in_time += u32::from(ms - sent_ms < 700);
            }
            scheduler.first_token(at(ms + 50), granted);
            ends.entry(ms + rng.random_range(SERVICE_MS)).or_default().push(granted.value());
        }
    }
    served
}

fn load(workspace: &'static str, weight: f64, usual: f64, flood: f64) -> Load {
    Load { workspace, weight, per_s: (usual, flood) }
}

/// Workspaces that use most of the capacity, and a flood of this many times their usual.
fn uneven(flood: f64, weighted: bool) -> Vec<Load> {
    let names = ["court", "hospital", "tours", "desk", "union"];
    let usual = [25.0, 20.0, 15.0, 8.0, 4.0];
    let mut loads = Vec::new();
    for (name, usual) in names.into_iter().zip(usual) {
        loads.push(load(name, if weighted { 1.8 * usual } else { 0.0 }, usual, usual));
    }
    // The last one floods.
    let rate = loads[4].per_s.0;
    loads[4].per_s.1 = flood * rate;
    loads
}

#[rstest]
#[case::six_times(6.0)]
#[case::thirty_times(30.0)]
#[case::a_hundred_times(100.0)]
fn a_flood_takes_nothing_from_workspaces_within_their_shares(#[case] flood: f64) {
    for seed in 0..6 {
        let (calm, flooded) = (play(seed, &uneven(1.0, true)), play(seed, &uneven(flood, true)));
        for workspace in ["court", "hospital", "tours", "desk"] {
            let (before, now) = (calm[workspace].share(), flooded[workspace].share());
            assert!(now >= before - MAX_LOSS, "seed {seed}: {workspace} {before:.3} {now:.3}");
        }
    }
}

/// Without weights the shares are equal: three that ask for less than a third lose nothing.
#[test]
fn shares_are_equal_without_weights() {
    let loads = |flood| {
        ["court", "hospital", "tours"]
            .map(|workspace| load(workspace, 0.0, 20.0, 20.0))
            .into_iter()
            .chain([load("desk", 0.0, 20.0, flood)])
            .collect::<Vec<_>>()
    };
    for seed in 0..6 {
        let (calm, flooded) = (play(seed, &loads(20.0)), play(seed, &loads(300.0)));
        for workspace in ["court", "hospital", "tours"] {
            let (before, now) = (calm[workspace].share(), flooded[workspace].share());
            assert!(now >= before - MAX_LOSS, "seed {seed}: {workspace} {before:.3} {now:.3}");
        }
    }
}

/// What the others leave is lent, whatever the weights say.
#[test]
fn unused_shares_are_lent() {
    for seed in 0..6 {
        let loads = [load("court", 100.0, 5.0, 5.0), load("desk", 1.0, 5.0, 300.0)];
        let served = play(seed, &loads);
        let rate = f64::from(served["desk"].started + served["court"].started)
            / ((LENGTH_MS - FLOOD_MS - SETTLE_MS - 1_000) as f64 / 1e3);
        assert!(rate >= 0.9 * CAPACITY_PER_S, "seed {seed}: {rate:.1} a second");
    }
}

/// All ask for twice their usual: nobody is to blame, and all lose alike.
#[test]
fn a_common_burst_is_shared() {
    let mut loads = uneven(2.0, true);
    loads.iter_mut().for_each(|load| load.per_s.1 = 2.0 * load.per_s.0);
    for seed in 0..6 {
        let shares: Vec<_> = play(seed, &loads).values().map(|served| served.share()).collect();
        let (least, most) =
            shares.iter().fold((1.0_f64, 0.0_f64), |(l, m), s| (l.min(*s), m.max(*s)));
        assert!(most - least <= 0.25, "seed {seed}: {shares:?}");
    }
}

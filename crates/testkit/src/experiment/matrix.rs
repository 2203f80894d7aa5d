//! All runs of an experiment.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use super::{
    bound::bound,
    fleet::fleet,
    run::run,
    scenario::{DURATION, Scenario},
    scheduler::Policy,
    score::{Score, score},
    workload::{TraceSettings, Workload, trace},
};

/// Threads that run cases at the same time.
const THREADS: usize = 3;

/// What is run.
#[derive(Clone, Debug)]
pub struct Selection {
    /// Workloads.
    pub workloads: Vec<Workload>,
    /// Work offered, as multiples of capacity.
    pub loads: Vec<f64>,
    /// Disturbances.
    pub scenarios: Vec<Scenario>,
    /// Policies.
    pub policies: Vec<Policy>,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// The workload.
    pub workload: Workload,
    /// Work offered, as a multiple of capacity.
    pub load: f64,
    /// The disturbance.
    pub scenario: Scenario,
    /// The policy.
    pub policy: Policy,
    /// True if only the top tier arrives.
    pub alone: bool,
}

/// One run with its figures.
#[derive(Clone, Debug)]
pub struct Row {
    /// The run.
    pub case: Case,
    /// Its figures.
    pub score: Score,
    /// Upper bound on the weighted goodput.
    pub bound: f64,
    /// What the scheduler had learned and decided by the last arrival.
    pub details: String,
}

impl Selection {
    fn cases(&self) -> Vec<Case> {
        let mut cases = Vec::new();
        for &workload in &self.workloads {
            for &load in &self.loads {
                for &scenario in &self.scenarios {
                    for &policy in &self.policies {
                        cases.push(Case { workload, load, scenario, policy, alone: false });
                    }
                }
                let (scenario, policy) = (Scenario::Steady, Policy::Pool);
                cases.push(Case { workload, load, scenario, policy, alone: true });
            }
        }
        cases
    }
}

/// Runs every case. The result does not depend on the number of threads.
#[must_use]
pub fn run_all(selection: &Selection) -> Vec<Row> {
    let cases = selection.cases();
    let rows = Mutex::new(vec![None; cases.len()]);
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let row = run_case(case, selection.seed);
                    let number = cases.iter().position(|c| std::ptr::eq(c, case));
                    let mut rows = rows.lock().expect("no thread panicked");
                    rows[number.expect("a case of the list")] = Some(row);
                }
            });
        }
    });
    let rows = rows.into_inner().expect("no thread panicked");
    rows.into_iter().flatten().collect()
}

fn run_case(case: &Case, seed: u64) -> Row {
    let engines = fleet(case.workload.data_centres);
    let burst = case.scenario.burst();
    let settings = TraceSettings { load: case.load, duration: DURATION, seed, burst };
    let mut arrivals = trace(&case.workload, &engines, &settings);
    if case.alone {
        arrivals.retain(|arrival| arrival.record.tier.0 == 0);
    }
    let result = run(&arrivals, &engines, case.policy, case.scenario, seed);
    let score = score(&arrivals, &result);
    let bound = bound(&case.workload, &engines, &arrivals, case.scenario);
    Row { case: *case, score, bound, details: result.details }
}

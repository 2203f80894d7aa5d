//! Runs all cases of an experiment.

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
    workload::{TraceSettings, Workload, generate_trace},
};

/// Number of cases that run at the same time.
const THREADS: usize = 3;

/// Cases to run: every combination of these values and, for each workload and
/// load, a steady case of the pool with requests of the top tier only.
#[derive(Clone, Debug)]
pub struct Selection {
    /// Workloads to run.
    pub workloads: Vec<Workload>,
    /// Offered loads, as multiples of capacity.
    pub loads: Vec<f64>,
    /// Disturbances to run.
    pub scenarios: Vec<Scenario>,
    /// Policies to run.
    pub policies: Vec<Policy>,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Workload that generates the requests.
    pub workload: Workload,
    /// Offered load, as a multiple of capacity.
    pub load: f64,
    /// Disturbance during the run.
    pub scenario: Scenario,
    /// Policy that schedules the requests.
    pub policy: Policy,
    /// True if only requests of the top tier arrive.
    pub top_tier_only: bool,
}

/// Results of one run.
#[derive(Clone, Debug)]
pub struct Row {
    /// Parameters of the run.
    pub case: Case,
    /// Figures of the run.
    pub score: Score,
    /// Upper bound on the weighted goodput.
    pub bound: f64,
    /// State of the scheduler at the end of the arrivals, as text.
    pub details: String,
}

impl Selection {
    fn cases(&self) -> Vec<Case> {
        let mut cases = Vec::new();
        for &workload in &self.workloads {
            for &load in &self.loads {
                for &scenario in &self.scenarios {
                    for &policy in &self.policies {
                        cases.push(Case { workload, load, scenario, policy, top_tier_only: false });
                    }
                }
                let (scenario, policy) = (Scenario::Steady, Policy::Pool);
                cases.push(Case { workload, load, scenario, policy, top_tier_only: true });
            }
        }
        cases
    }
}

/// Runs every case. The results do not depend on the number of threads.
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
    let mut arrivals = generate_trace(&case.workload, &engines, &settings);
    if case.top_tier_only {
        arrivals.retain(|arrival| arrival.record.tier.0 == 0);
    }
    let result = run(&arrivals, &engines, case.policy, case.scenario, seed);
    let score = score(&arrivals, &result);
    let bound = bound(&case.workload, &engines, &arrivals, case.scenario);
    Row { case: *case, score, bound, details: result.details }
}

//! The targets that the scheduling decisions are held to.

use super::{matrix::Row, scenario::Scenario, scheduler::Policy};

/// Least goodput of the top tier under overload, against its own when alone.
const TOP_TIER_UNDER_OVERLOAD: f64 = 0.97;

/// Largest cost of a burst to the top tier's goodput.
const BURST_COST: f64 = 0.01;

/// Least weighted goodput at capacity, against the upper bound.
const OF_BOUND: f64 = 0.9;

/// Most wasted prefill at 1.5 times capacity.
const WASTED: f64 = 0.02;

/// Most wasted prefill against the best baseline's.
const WASTED_OF_BASELINE: f64 = 0.2;

/// Least utilisation at saturation.
const UTILISATION: f64 = 0.95;

/// Load at which the pool is saturated.
const SATURATED: f64 = 3.0;

/// A target with what was measured.
#[derive(Clone, Debug)]
pub struct Check {
    /// Workload and load.
    pub place: String,
    /// What is held to the target.
    pub what: &'static str,
    /// What was measured.
    pub measured: f64,
    /// The target.
    pub target: f64,
    /// True if the target is met.
    pub met: bool,
}

/// Holds the figures to the targets, as far as the runs cover them.
#[must_use]
pub fn check(rows: &[Row]) -> Vec<Check> {
    let mut checks = Vec::new();
    let pool = rows.iter().filter(|row| row.case.policy == Policy::Pool && !row.case.alone);
    for row in pool {
        let load = row.case.load;
        match row.case.scenario {
            Scenario::Steady => {
                if load > 1.0 {
                    top_tier(rows, row, &mut checks);
                }
                if load == 1.0 {
                    let share = row.score.weighted(row.case.workload.tier_weights) / row.bound;
                    checks.push(at_least(row, "weighted goodput of bound", share, OF_BOUND));
                }
                if load == 1.5 {
                    wasted(rows, row, &mut checks);
                }
                if load == SATURATED {
                    let used = row.score.utilisation;
                    checks.push(at_least(row, "utilisation", used, UTILISATION));
                }
            }
            Scenario::Burst => burst(rows, row, &mut checks),
            Scenario::RunnerLost | Scenario::SlowEngine | Scenario::StaleReports => {}
        }
    }
    checks
}

fn top_tier(rows: &[Row], row: &Row, checks: &mut Vec<Check>) {
    let alone = find(rows, row, Scenario::Steady, true);
    if let Some(alone) = alone {
        let share = row.score.tiers[0].goodput() / alone.score.tiers[0].goodput();
        let what = "top tier of its goodput alone";
        checks.push(at_least(row, what, share, TOP_TIER_UNDER_OVERLOAD));
    }
}

fn burst(rows: &[Row], row: &Row, checks: &mut Vec<Check>) {
    if let Some(steady) = find(rows, row, Scenario::Steady, false) {
        let cost = 1.0 - row.score.tiers[0].goodput() / steady.score.tiers[0].goodput();
        checks.push(at_most(row, "cost of burst to top tier", cost, BURST_COST));
    }
}

fn wasted(rows: &[Row], row: &Row, checks: &mut Vec<Check>) {
    checks.push(at_most(row, "wasted prefill", row.score.wasted, WASTED));
    let same = rows.iter().filter(|other| {
        other.case.workload.name == row.case.workload.name
            && other.case.load == row.case.load
            && other.case.scenario == row.case.scenario
            && other.case.policy != Policy::Pool
    });
    let best = same.map(|other| other.score.wasted).reduce(f64::min);
    if let Some(best) = best {
        let share = row.score.wasted / best;
        checks.push(at_most(row, "wasted prefill of best baseline's", share, WASTED_OF_BASELINE));
    }
}

fn find<'a>(rows: &'a [Row], row: &Row, scenario: Scenario, alone: bool) -> Option<&'a Row> {
    rows.iter().find(|other| {
        other.case.workload.name == row.case.workload.name
            && other.case.load == row.case.load
            && other.case.scenario == scenario
            && other.case.policy == Policy::Pool
            && other.case.alone == alone
    })
}

fn at_least(row: &Row, what: &'static str, measured: f64, target: f64) -> Check {
    Check { place: place(row), what, measured, target, met: measured >= target }
}

fn at_most(row: &Row, what: &'static str, measured: f64, target: f64) -> Check {
    Check { place: place(row), what, measured, target, met: measured <= target }
}

fn place(row: &Row) -> String {
    format!("{} {:.1}x", row.case.workload.name, row.case.load)
}

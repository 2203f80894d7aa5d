//! Checks of the results against the targets for the scheduling decisions.

use super::{matrix::Row, scenario::Scenario, scheduler::Policy};

/// Least goodput of the top tier under overload, as a share of its goodput
/// without lower tiers.
const MIN_TOP_TIER_SHARE: f64 = 0.97;

/// Largest share of its goodput that the top tier may lose in a burst.
const MAX_BURST_LOSS: f64 = 0.01;

/// Least weighted goodput at capacity, as a share of the upper bound.
const MIN_SHARE_OF_BOUND: f64 = 0.9;

/// Largest wasted share of prefill at 1.5 times capacity.
const MAX_WASTED: f64 = 0.02;

/// Largest wasted share of prefill, as a share of the best baseline's.
const MAX_WASTED_OF_BASELINE: f64 = 0.2;

/// Least utilisation at saturation.
const MIN_UTILISATION: f64 = 0.95;

/// Load at which the pool is saturated, as a multiple of capacity.
const SATURATION_LOAD: f64 = 3.0;

/// Check of one measured value against its target.
#[derive(Clone, Debug)]
pub struct Check {
    /// Workload and load of the run.
    pub case: String,
    /// Name of the measured value.
    pub metric: &'static str,
    /// Measured value.
    pub measured: f64,
    /// Least or largest value allowed.
    pub target: f64,
    /// True if the measured value meets the target.
    pub met: bool,
}

/// Checks the results against all targets for which `rows` has the runs.
#[must_use]
pub fn check(rows: &[Row]) -> Vec<Check> {
    let mut checks = Vec::new();
    let pool = rows.iter().filter(|row| row.case.policy == Policy::Pool && !row.case.top_tier_only);
    for row in pool {
        let load = row.case.load;
        match row.case.scenario {
            Scenario::Steady => {
                if load > 1.0 {
                    check_top_tier(rows, row, &mut checks);
                }
                if load == 1.0 {
                    let share = row.score.weighted(row.case.workload.tier_weights) / row.bound;
                    checks.push(at_least(
                        row,
                        "weighted goodput, share of bound",
                        share,
                        MIN_SHARE_OF_BOUND,
                    ));
                }
                if load == 1.5 {
                    check_wasted(rows, row, &mut checks);
                }
                if load == SATURATION_LOAD {
                    let used = row.score.utilisation;
                    checks.push(at_least(row, "utilisation", used, MIN_UTILISATION));
                }
            }
            Scenario::Burst => check_burst(rows, row, &mut checks),
            Scenario::RunnerLost | Scenario::SlowEngine | Scenario::StaleReports => {}
        }
    }
    checks
}

fn check_top_tier(rows: &[Row], row: &Row, checks: &mut Vec<Check>) {
    let alone = find(rows, row, Scenario::Steady, true);
    if let Some(alone) = alone {
        let share = row.score.tiers[0].goodput() / alone.score.tiers[0].goodput();
        let metric = "top tier goodput, share of t0 alone";
        checks.push(at_least(row, metric, share, MIN_TOP_TIER_SHARE));
    }
}

fn check_burst(rows: &[Row], row: &Row, checks: &mut Vec<Check>) {
    if let Some(steady) = find(rows, row, Scenario::Steady, false) {
        let loss = 1.0 - row.score.tiers[0].goodput() / steady.score.tiers[0].goodput();
        checks.push(at_most(row, "goodput loss of top tier in burst", loss, MAX_BURST_LOSS));
    }
}

fn check_wasted(rows: &[Row], row: &Row, checks: &mut Vec<Check>) {
    checks.push(at_most(row, "wasted prefill", row.score.wasted, MAX_WASTED));
    let same = rows.iter().filter(|other| {
        other.case.workload.name == row.case.workload.name
            && other.case.load == row.case.load
            && other.case.scenario == row.case.scenario
            && other.case.policy != Policy::Pool
    });
    let best = same.map(|other| other.score.wasted).reduce(f64::min);
    if let Some(best) = best {
        let share = row.score.wasted / best;
        checks.push(at_most(
            row,
            "wasted prefill, share of baseline's",
            share,
            MAX_WASTED_OF_BASELINE,
        ));
    }
}

fn find<'a>(
    rows: &'a [Row],
    row: &Row,
    scenario: Scenario,
    top_tier_only: bool,
) -> Option<&'a Row> {
    rows.iter().find(|other| {
        other.case.workload.name == row.case.workload.name
            && other.case.load == row.case.load
            && other.case.scenario == scenario
            && other.case.policy == Policy::Pool
            && other.case.top_tier_only == top_tier_only
    })
}

fn at_least(row: &Row, metric: &'static str, measured: f64, target: f64) -> Check {
    Check { case: case_name(row), metric, measured, target, met: measured >= target }
}

fn at_most(row: &Row, metric: &'static str, measured: f64, target: f64) -> Check {
    Check { case: case_name(row), metric, measured, target, met: measured <= target }
}

fn case_name(row: &Row) -> String {
    format!("{} {:.1}x", row.case.workload.name, row.case.load)
}

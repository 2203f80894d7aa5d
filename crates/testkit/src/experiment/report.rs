//! Results of an experiment as text and as CSV.

use std::fmt::{self, Write};

use super::{matrix::Row, targets::Check};

/// Formats the results and checks as a text table.
///
/// # Errors
///
/// Fails if a figure can't be formatted.
pub fn table(rows: &[Row], checks: &[Check]) -> Result<String, fmt::Error> {
    let mut out = String::new();
    let mut section = String::new();
    for row in rows {
        let case = &row.case;
        let title = format!("{} {:.1}x {}", case.workload.name, case.load, case.scenario);
        if title != section {
            writeln!(out, "\n{title}")?;
            writeln!(
                out,
                "{:<15}{:>5}{:>6}{:>6}{:>7}{:>7}{:>7}{:>7}{:>6}{:>6}  {:<18} between ms",
                "policy",
                "t0",
                "t1",
                "t2",
                "wght",
                "bound",
                "waste",
                "miss",
                "util",
                "fair",
                "first0 ms"
            )?;
            section = title;
        }
        table_row(&mut out, row)?;
    }
    writeln!(out, "\n{:<14}{:<36}{:>9}{:>8}", "target", "", "measured", "bound")?;
    for check in checks {
        let verdict = if check.met { "met" } else { "MISSED" };
        let Check { case, metric, measured, target, .. } = check;
        writeln!(out, "{case:<14}{metric:<36}{measured:>9.4}{target:>8.2} {verdict}")?;
    }
    Ok(out)
}

fn table_row(out: &mut String, row: &Row) -> fmt::Result {
    let score = &row.score;
    let policy =
        if row.case.top_tier_only { "t0 alone".to_owned() } else { row.case.policy.to_string() };
    write!(out, "{policy:<14}")?;
    for tier in &score.tiers {
        write!(out, "{:>6.3}", tier.goodput())?;
    }
    let weighted = score.weighted(row.case.workload.tier_weights);
    write!(out, "{weighted:>7.3}{:>7.3}{:>7.3}", row.bound, score.wasted)?;
    write!(out, "{:>7.3}", score.missed)?;
    write!(out, "{:>6.2}{:>6.2}  ", score.utilisation, score.fairness)?;
    let [first50, first95, first99] = score.tiers[0].first_ms;
    let [between50, between95, between99] = score.between_ms;
    let first = format!("{first50}/{first95}/{first99}");
    writeln!(out, "{first:<18} {between50}/{between95}/{between99}")
}

/// Formats the results as CSV, with more figures than in the text table.
///
/// # Errors
///
/// Fails if a figure can't be formatted.
pub fn csv(rows: &[Row]) -> Result<String, fmt::Error> {
    let mut out = String::from("workload,load,scenario,policy,alone,weighted,bound,wasted,missed,");
    out.push_str("utilisation,fairness,between_p50_ms,between_p95_ms,between_p99_ms");
    for tier in 0..super::score::TIERS {
        write!(out, ",offered_{tier},good_{tier},refused_{tier}")?;
        write!(out, ",first_p50_ms_{tier},first_p95_ms_{tier},first_p99_ms_{tier}")?;
    }
    out.push('\n');
    for row in rows {
        csv_row(&mut out, row)?;
    }
    Ok(out)
}

fn csv_row(out: &mut String, row: &Row) -> fmt::Result {
    let (case, score) = (&row.case, &row.score);
    let weighted = score.weighted(case.workload.tier_weights);
    write!(out, "{},{},{}", case.workload.name, case.load, case.scenario)?;
    write!(out, ",{},{},{weighted:.4}", case.policy, case.top_tier_only)?;
    write!(out, ",{:.4},{:.4},{:.4}", row.bound, score.wasted, score.missed)?;
    write!(out, ",{:.4},{:.4}", score.utilisation, score.fairness)?;
    let [p50, p95, p99] = score.between_ms;
    write!(out, ",{p50},{p95},{p99}")?;
    for tier in &score.tiers {
        let [p50, p95, p99] = tier.first_ms;
        write!(out, ",{},{},{},{p50},{p95},{p99}", tier.offered, tier.good, tier.refused)?;
    }
    writeln!(out)
}

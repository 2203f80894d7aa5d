//! Rows of the printed tables.

use std::time::Duration;

use comfreyway_testkit::{
    load::LoadResult,
    measure::{CpuUsage, Table},
};

const MICROS_PER_MILLI: f64 = 1_000.0;
const MICROS_PER_SECOND: f64 = 1_000_000.0;
const P50: f64 = 0.5;
const P99: f64 = 0.99;

/// Creates the empty table of the data path.
pub(crate) fn table() -> Table {
    Table::new(
        "Data path",
        &[
            "step",
            "path",
            "req/s",
            "events/s",
            "failed",
            "first p50 ms",
            "first p99 ms",
            "whole p50 ms",
            "whole p99 ms",
            "cores",
            "us/req",
            "us/event",
        ],
    )
}

/// Adds a step whose load went directly to the upstream.
pub(crate) fn push_direct(table: &mut Table, step: &str, result: &LoadResult) {
    let mut row = caller_columns(step, "direct", result);
    row.extend(["-", "-", "-"].map(str::to_owned));
    table.push(row);
}

/// Adds a step whose load went through the daemon.
pub(crate) fn push_daemon(
    table: &mut Table,
    step: &str,
    result: &LoadResult,
    used: &CpuUsage,
    time: Duration,
) {
    let mut row = caller_columns(step, "daemon", result);
    let total = used.total();
    let per = |count: u64| total.as_secs_f64() * MICROS_PER_SECOND / count.max(1) as f64;
    row.push(format!("{:.2}", total.as_secs_f64() / time.as_secs_f64()));
    row.push(format!("{:.0}", per(result.answered)));
    row.push(format!("{:.1}", per(result.events)));
    table.push(row);
}

fn caller_columns(step: &str, path: &str, result: &LoadResult) -> Vec<String> {
    let ms = |us: u64| format!("{:.2}", us as f64 / MICROS_PER_MILLI);
    vec![
        step.to_owned(),
        path.to_owned(),
        format!("{:.0}", result.requests_per_second()),
        format!("{:.0}", result.events_per_second()),
        result.failed.to_string(),
        ms(result.first_byte.value_at_quantile(P50)),
        ms(result.first_byte.value_at_quantile(P99)),
        ms(result.total.value_at_quantile(P50)),
        ms(result.total.value_at_quantile(P99)),
    ]
}

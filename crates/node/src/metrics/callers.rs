//! Metrics of what callers make a host hold.

use std::sync::Arc;

use opentelemetry::metrics::Meter;

/// What callers make a host hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallerUsage {
    /// Bytes of connections, bodies and responses.
    pub bytes: u64,
    /// Connections in the account.
    pub connections: u64,
}

pub(super) fn observe_callers<F>(meter: &Meter, usage: F)
where
    F: Fn() -> CallerUsage + Send + Sync + 'static,
{
    let usage = Arc::new(usage);
    let bytes = usage.clone();
    // The meter retains the observable instruments.
    let _ = meter
        .u64_observable_gauge("comfreyway_caller_memory")
        .with_description("Memory held for callers: connections, bodies and responses")
        .with_unit("By")
        .with_callback(move |observer| observer.observe(bytes().bytes, &[]))
        .build();
    let _ = meter
        .u64_observable_gauge("comfreyway_caller_connections")
        .with_description("Connections of callers")
        .with_callback(move |observer| observer.observe(usage().connections, &[]))
        .build();
}

//! Counters and histograms of the process, in Prometheus text format.
//!
//! The counters of all reasons exist with value zero from the start, so that
//! alerts don't depend on a first occurrence.

mod callers;
mod control_probe;
mod error;
mod fleet;
mod registry;
mod traffic;

pub(crate) use self::control_probe::probe_control;
pub use self::{
    callers::CallerUsage,
    error::MetricsError,
    fleet::{FleetMetrics, RequestLabels, RequestTimes},
    registry::Metrics,
    traffic::TrafficMetrics,
};

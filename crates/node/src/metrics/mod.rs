//! Counters and histograms of one process, served as Prometheus text.
//!
//! Every reason of the closed lists has its counter at zero from the start, so
//! that an alert on a reason needs no first occurrence.

mod control_probe;
mod error;
mod fleet;
mod registry;
mod traffic;

pub(crate) use self::control_probe::probe_control;
pub use self::{
    error::MetricsError,
    fleet::{FleetMetrics, RequestLabels, RequestTimes},
    registry::Metrics,
    traffic::TrafficMetrics,
};

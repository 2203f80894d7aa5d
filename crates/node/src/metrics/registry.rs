//! Registry of all metrics of the process.

use std::time::Duration;

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use super::{CallerUsage, FleetMetrics, MetricsError, TrafficMetrics, callers::observe_callers};

/// Name of the meter of all instruments.
const METER_NAME: &str = "comfreyway";

/// All metrics of the process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    traffic: TrafficMetrics,
}

impl Metrics {
    /// Creates all metrics, with zero for every reason.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be built.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_core::outcome::NotRunReason;
    /// use comfreyway_node::metrics::Metrics;
    ///
    /// let metrics = Metrics::new().unwrap();
    /// metrics.traffic().not_run(NotRunReason::Shed);
    /// let text = metrics.render().unwrap();
    /// assert!(text.contains(r#"comfreyway_not_run_total{reason="shed"} 1"#));
    /// assert!(text.contains(r#"comfreyway_not_run_total{reason="queue-full"} 0"#));
    /// ```
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .map_err(|e| MetricsError::Exporter(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let traffic = TrafficMetrics::new(&provider.meter(METER_NAME));
        Ok(Self { registry, provider, traffic })
    }

    /// Returns the metrics of the request path.
    #[must_use]
    pub fn traffic(&self) -> &TrafficMetrics {
        &self.traffic
    }

    /// Creates the metrics of a host that serves a fleet. `staleness` returns
    /// the time since the configuration was last verified as current.
    pub fn fleet<F>(&self, staleness: F) -> FleetMetrics
    where
        F: Fn() -> Duration + Send + Sync + 'static,
    {
        FleetMetrics::new(&self.meter(), self.traffic.clone(), staleness)
    }

    /// Adds the metrics of what callers make this host hold. `usage` returns it.
    pub fn callers<F>(&self, usage: F)
    where
        F: Fn() -> CallerUsage + Send + Sync + 'static,
    {
        observe_callers(&self.meter(), usage);
    }

    /// Returns a meter to register further instruments.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter(METER_NAME)
    }

    /// Renders all metrics in Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be written as text.
    pub fn render(&self) -> Result<String, MetricsError> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|e| MetricsError::Encoding(e.to_string()))
    }
}

//! The registry of all metrics of one process.

use std::time::Duration;

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use super::{FleetMetrics, MetricsError, TrafficMetrics};

/// Name of the meter that all instruments belong to.
const METER_NAME: &str = "comfreyway";

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    traffic: TrafficMetrics,
}

impl Metrics {
    /// Sets up all instruments, with every closed reason at zero.
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

    /// The instruments of the traffic path.
    #[must_use]
    pub fn traffic(&self) -> &TrafficMetrics {
        &self.traffic
    }

    /// The instruments of a host that serves a fleet. `proof_age` gives the age of
    /// the proof that the configuration is the newest.
    pub fn fleet<F>(&self, proof_age: F) -> FleetMetrics
    where
        F: Fn() -> Duration + Send + Sync + 'static,
    {
        FleetMetrics::new(&self.meter(), self.traffic.clone(), proof_age)
    }

    /// A meter for the instruments of another part.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter(METER_NAME)
    }

    /// All metrics in Prometheus text format.
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

//! The version in force as a metric.

use std::sync::Arc;

use comfreyway_core::config::Document;
use opentelemetry::metrics::Meter;
use tokio::sync::watch;

/// Shows the version of the document in force as a gauge of `meter`.
pub fn register_version_gauge(meter: &Meter, document: watch::Receiver<Arc<Document>>) {
    let gauge = meter
        .u64_observable_gauge("comfreyway_config_version")
        .with_description("Version of the configuration in force on this host")
        .with_callback(move |observer| observer.observe(document.borrow().version, &[]));
    // The meter keeps the callback; the handle itself has no use.
    let _ = gauge.build();
}

//! Metric of the configuration's version.

use std::sync::Arc;

use comfreyway_core::config::Document;
use opentelemetry::metrics::Meter;
use tokio::sync::watch;

/// Registers a gauge that shows the version of the document in force.
pub fn register_version_gauge(meter: &Meter, document: watch::Receiver<Arc<Document>>) {
    let gauge = meter
        .u64_observable_gauge("comfreyway_config_version")
        .with_description("Version of the configuration in force on this host")
        .with_callback(move |observer| observer.observe(document.borrow().version, &[]));
    // The meter keeps the callback; the handle is not needed.
    let _ = gauge.build();
}

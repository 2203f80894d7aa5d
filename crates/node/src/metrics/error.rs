//! Errors of the metrics.

use quick_error::quick_error;

quick_error! {
    /// The metrics can't be set up or rendered.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum MetricsError {
        /// The exporter can't be built.
        Exporter(cause: String) {
            display("the metrics exporter can't be built: {cause}")
        }
        /// The metrics can't be rendered as text.
        Encoding(cause: String) {
            display("the metrics can't be written: {cause}")
        }
    }
}

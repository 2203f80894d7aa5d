//! Errors that prevent a daemon from starting.

use std::{io, net::SocketAddr, path::PathBuf};

use quick_error::quick_error;

use crate::metrics::MetricsError;

quick_error! {
    /// A daemon could not start.
    #[derive(Debug)]
    pub enum RunError {
        /// Listening on an address failed.
        Listen(address: SocketAddr, cause: io::Error) {
            display("can't listen on {address}: {cause}; choose a free address in [listen]")
            source(cause)
        }
        /// The initial configuration is invalid.
        InitialConfiguration(file: PathBuf, cause: String) {
            display("{}: {cause}", file.display())
        }
        /// The control thread ended during startup.
        ControlThread {
            display("the control thread ended during the start")
        }
        /// The metrics can't be set up.
        Metrics(cause: MetricsError) {
            display("can't set up metrics: {cause}")
            source(cause)
            from()
        }
        /// The operating system refused a resource.
        System(cause: io::Error) {
            display("can't start: {cause}")
            source(cause)
            from()
        }
    }
}

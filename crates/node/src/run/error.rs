//! Why a daemon could not start.

use std::{io, net::SocketAddr, path::PathBuf};

use quick_error::quick_error;

use crate::metrics::MetricsError;

quick_error! {
    /// Why a daemon could not start.
    #[derive(Debug)]
    pub enum RunError {
        /// An address can't be listened on.
        Listen(address: SocketAddr, cause: io::Error) {
            display("can't listen on {address}: {cause}; choose a free address in [listen]")
            source(cause)
        }
        /// The initial configuration can't be used.
        InitialConfiguration(file: PathBuf, cause: String) {
            display("{}: {cause}", file.display())
        }
        /// The control thread ended during the start.
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

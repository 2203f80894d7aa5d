//! Failures of a call to the platform.

use quick_error::quick_error;

quick_error! {
    /// Failure of a call to the platform.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum PlatformError {
        /// The call certainly had no effect.
        NotDone(cause: String) {
            display("the platform did not take the call: {cause}")
        }
        /// The call may have had its effect; the reply was lost or too late.
        Uncertain(cause: String) {
            display("the platform's reply is missing: {cause}")
        }
        /// The platform answered something that can't be understood.
        Malformed(cause: String) {
            display("the platform's reply can't be read: {cause}")
        }
        /// The lease is unknown or has lapsed.
        LeaseExpired {
            display("the lease has lapsed")
        }
    }
}

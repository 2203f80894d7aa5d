//! Errors of calls to the platform.

use quick_error::quick_error;

quick_error! {
    /// Error of a call to the platform.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum PlatformError {
        /// The call had no effect.
        NotDone(cause: String) {
            display("the platform did not take the call: {cause}")
        }
        /// The call may have taken effect; the reply was lost or late.
        Uncertain(cause: String) {
            display("the platform's reply is missing: {cause}")
        }
        /// The reply can't be parsed.
        Malformed(cause: String) {
            display("the platform's reply can't be read: {cause}")
        }
        /// The lease is unknown or has expired.
        LeaseExpired {
            display("the lease has lapsed")
        }
    }
}

//! Errors of calls to the platform.

use quick_error::quick_error;

quick_error! {
    /// Error of a call to the platform.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum PlatformError {
        /// The call had no effect.
        NotDone(cause: String) {
            display("call to the platform not executed: {cause}")
        }
        /// The call may have taken effect; the reply was lost or late.
        Uncertain(cause: String) {
            display("no reply from the platform, the call may take effect: {cause}")
        }
        /// The reply can't be parsed.
        Malformed(cause: String) {
            display("invalid reply from the platform: {cause}")
        }
        /// The lease is unknown or has expired.
        LeaseExpired {
            display("the lease is unknown or has expired")
        }
    }
}

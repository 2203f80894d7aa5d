//! Names and formats of a platform.

use comfreyway_core::{
    fleet::{FleetConfig, RunnerEntry},
    ids::RunnerName,
};
use hyper::header::HeaderName;
use quick_error::quick_error;

quick_error! {
    /// A value of the store that can't be used.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum RecordError {
        /// The bytes can't be read as the expected record.
        Unreadable(cause: String) {
            display("the record can't be read: {cause}")
        }
        /// A field has a value that can't be used.
        BadField(field: &'static str, cause: String) {
            display("the field {field} can't be used: {cause}")
        }
    }
}

/// Names of headers, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Identity of one attempt of a caller; runners echo it.
    pub request_id: &'static str,
    /// Milliseconds that the caller, or the host, still waits.
    pub deadline_ms: &'static str,
    /// Prompt tokens and most generated tokens.
    pub token_usage: &'static str,
    /// The caller's key.
    pub api_key: &'static str,
    /// The workspace that a host names to a runner.
    pub workspace: &'static str,
    /// The runner that a request is meant for.
    pub expected_runner: &'static str,
    /// A runner's proof that the answer is its own.
    pub signature: &'static str,
    /// A runner's statement that it did not run the request.
    pub not_executed: &'static str,
    /// The event after which a stream is to go on.
    pub last_event_id: &'static str,
    /// Headers that only hosts may set; those of callers are dropped.
    pub host_only: &'static [&'static str],
}

/// Keys of the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreKeys {
    /// Key of the configuration.
    pub config: &'static str,
    /// Prefix of the runners' entries.
    pub runners: &'static str,
    /// Prefix of the hosts' own entries.
    pub members: &'static str,
}

/// Names and formats of a platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformFormat {
    /// Names of headers.
    pub headers: HeaderNames,
    /// Keys of the store.
    pub keys: StoreKeys,
    /// Reads a configuration that was written at this revision.
    pub read_config: fn(&[u8], u64) -> Result<FleetConfig, RecordError>,
    /// Reads the entry of the runner with this name.
    pub read_runner: fn(RunnerName, &[u8]) -> Result<RunnerEntry, RecordError>,
    /// Reads prompt tokens and most generated tokens from the usage header.
    pub read_usage: fn(&str) -> Option<(u32, u32)>,
}

/// A header name that is known to be valid.
pub(super) fn header(name: &'static str) -> HeaderName {
    HeaderName::from_static(name)
}

//! Header names, store keys and record formats of a platform.

use comfreyway_core::{
    fleet::{FleetConfig, RolloutOrder, RolloutStatus, RunnerEntry, RunnerLoad, SizedPart},
    ids::{RunnerName, UpstreamName},
};
use hyper::header::HeaderName;
use quick_error::quick_error;

quick_error! {
    /// A stored record that can't be used.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum RecordError {
        /// The bytes don't parse as the expected record.
        Unreadable(cause: String) {
            display("can't parse the record: {cause}")
        }
        /// A field has an invalid value.
        BadField(field: &'static str, cause: String) {
            display("invalid field {field}: {cause}")
        }
    }
}

/// Names of headers, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; runners echo it.
    pub request_id: &'static str,
    /// Time in milliseconds that the caller, or the host, still waits.
    pub deadline_ms: &'static str,
    /// Prompt tokens and maximum generated tokens.
    pub token_usage: &'static str,
    /// Parts of the prompt, in order.
    pub prompt_parts: &'static str,
    /// The caller's API key.
    pub api_key: &'static str,
    /// The workspace, which hosts name to runners.
    pub workspace: &'static str,
    /// The runner that a request is addressed to.
    pub expected_runner: &'static str,
    /// A runner's signature on its own responses.
    pub signature: &'static str,
    /// Set by a runner that did not run the request.
    pub not_executed: &'static str,
    /// Set by a runner that is leaving, with the value `1`.
    pub leaving: &'static str,
    /// Requests a second that a runner takes from all hosts together, for as long as its
    /// responses name it.
    pub limit: &'static str,
    /// A runner's load: requests that run and wait, slots, and how long work takes now.
    pub load: &'static str,
    /// The caller's estimate of the generated tokens.
    pub length_hint: &'static str,
    /// The event after which a stream resumes.
    pub last_event_id: &'static str,
    /// Id of the caller's attempt that brought the first event of the stream which
    /// this one takes up.
    pub resumes: &'static str,
    /// Headers that only hosts may set; removed from callers' requests.
    pub host_only: &'static [&'static str],
}

/// Keys of the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreKeys {
    /// Key of the fleet configuration.
    pub config: &'static str,
    /// Prefix of the runners' entries.
    pub runners: &'static str,
    /// Prefix of the hosts' own entries.
    pub members: &'static str,
    /// Key of the record of runners' versions that serve side by side.
    pub versions: &'static str,
    /// Prefix of the items of streams' versions.
    pub streams: &'static str,
    /// Prefix of the quarantined prompt parts.
    pub quarantine: &'static str,
    /// Prefix of the operators' orders to roll out a version, by upstream.
    pub rollout_orders: &'static str,
    /// Prefix of the status of these orders.
    pub rollout_statuses: &'static str,
    /// Prefix of what coordinators keep of them.
    pub rollouts: &'static str,
}

/// Header names, store keys and record parsers of a platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformFormat {
    /// Names of headers.
    pub headers: HeaderNames,
    /// Keys of the store.
    pub keys: StoreKeys,
    /// Parses a configuration that was stored at this revision.
    pub read_config: fn(&[u8], u64) -> Result<FleetConfig, RecordError>,
    /// Parses the entry of the runner with this name.
    pub read_runner: fn(RunnerName, &[u8]) -> Result<RunnerEntry, RecordError>,
    /// Parses prompt tokens and maximum generated tokens from the token usage
    /// header.
    pub read_usage: fn(&str) -> Option<(u32, u32)>,
    /// Parses a runner's rate limit.
    pub read_limit: fn(&str) -> Option<f64>,
    /// Parses the order for an upstream that was stored at this revision.
    pub read_rollout: fn(&UpstreamName, &[u8], u64) -> Result<RolloutOrder, RecordError>,
    /// Parses the status of a rollout.
    pub read_rollout_status: fn(&[u8]) -> Result<RolloutStatus, RecordError>,
    /// Encodes the status of an upstream's rollout.
    pub write_rollout_status: fn(&UpstreamName, &RolloutStatus) -> Result<Vec<u8>, RecordError>,
    /// Parses the parts of a prompt that other requests may share.
    pub read_parts: fn(&str) -> Vec<SizedPart>,
    /// Parses what a runner says of its load.
    pub read_load: fn(&str) -> Option<RunnerLoad>,
}

/// Converts a valid header name; panics on an invalid one.
pub(super) fn header(name: &'static str) -> HeaderName {
    HeaderName::from_static(name)
}

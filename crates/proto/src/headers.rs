//! HTTP headers that the scheduler reads and writes.

/// Class of the request. Required unless the route names a class.
pub const CLASS: &str = "comfreyway-class";
/// Workspace of the request. Required.
pub const WORKSPACE: &str = "comfreyway-workspace";
/// Identity that the caller gives to a request, within its workspace.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Identity that the scheduler gave to the request.
pub const REQUEST_ID: &str = "comfreyway-request-id";
/// Outcome of the request: `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "comfreyway-outcome";
/// Reason of an outcome other than `answered`.
pub const REASON: &str = "comfreyway-reason";
/// Fencing number on requests and orders to upstreams.
pub const FENCING: &str = "comfreyway-fencing";
/// Secret of the peers' and operators' ports.
pub const SECRET: &str = "comfreyway-secret";
/// Number of the last event that a resuming reader has whole.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Set to `true` by an upstream that is leaving.
pub const LEAVING: &str = "comfreyway-leaving";

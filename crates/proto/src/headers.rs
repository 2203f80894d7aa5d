//! HTTP headers that the scheduler reads and writes.

/// Class of the request. Required unless the route sets one.
pub const CLASS: &str = "comfreyway-class";
/// Workspace of the request. Required.
pub const WORKSPACE: &str = "comfreyway-workspace";
/// Idempotency key that the caller assigns, scoped to the workspace.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Identifier that the scheduler assigns to the request.
pub const REQUEST_ID: &str = "comfreyway-request-id";
/// Outcome of the request: `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "comfreyway-outcome";
/// Reason for an outcome other than `answered`.
pub const REASON: &str = "comfreyway-reason";
/// Fencing token on requests to upstreams: the epoch of the grant.
pub const FENCING: &str = "comfreyway-fencing";
/// Shared secret of the peers' and operators' ports.
pub const SECRET: &str = "comfreyway-secret";
/// Number of the last event that a resuming reader received completely.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Set to `true` by a runner that is draining.
pub const LEAVING: &str = "comfreyway-leaving";

//! Messages between a host and its coordinator.
//!
//! Fields have short names on the wire, because these messages go out for every
//! request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{RequestId, RunnerName, UpstreamName},
    outcome::{NotRunReason, RetryReason},
    request::{DispatchEnd, RequestRecord},
};

/// A request for which a runner is wanted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementRequest {
    /// What the ranking knows of the request.
    #[serde(rename = "r")]
    pub record: RequestRecord,
    /// The upstream that shall run it.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// What it takes from its workspace's quota.
    #[serde(rename = "c")]
    pub cost: f64,
    /// Time from arrival to the final answer.
    #[serde(rename = "l")]
    pub time_limit: Duration,
    /// Runners that it was sent to before.
    #[serde(rename = "n")]
    pub prior_attempts: u32,
    /// The runner that it was sent to last; another one is tried first.
    #[serde(rename = "v")]
    pub avoid: Option<RunnerName>,
}

/// What a host tells its coordinator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RequestUpdate {
    /// A request waits.
    #[serde(rename = "q")]
    Submit(Box<PlacementRequest>),
    /// A request that another coordinator placed is at this runner.
    #[serde(rename = "a")]
    Adopt(Box<PlacementRequest>, RunnerName),
    /// The caller left, or the time is over, before the request was sent.
    #[serde(rename = "w")]
    Withdraw(RequestId),
    /// The runner certainly did not run the request; it waits again.
    #[serde(rename = "b")]
    Requeue(RequestId, RetryReason),
    /// The first token or byte of the answer arrived.
    #[serde(rename = "f")]
    FirstToken(RequestId),
    /// The request is over at its runner.
    #[serde(rename = "e")]
    Ended(RequestId, DispatchEnd),
}

/// What a coordinator tells a host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PlacementReply {
    /// Send the request to this runner now.
    #[serde(rename = "g")]
    Grant(RequestId, RunnerName),
    /// Refuse the request; it may come again after this time.
    #[serde(rename = "r")]
    Refuse(RequestId, NotRunReason, Duration),
}

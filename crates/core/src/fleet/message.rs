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

use super::{PromptPart, RequestDigest, RunnerVersion, StreamBinding, SuspectList};

/// A request that needs a runner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementRequest {
    /// The request as the scheduler sees it.
    #[serde(rename = "r")]
    pub record: RequestRecord,
    /// The upstream that shall run it.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// Units charged to the workspace's quota.
    #[serde(rename = "c")]
    pub cost: f64,
    /// Maximum time from arrival to the complete response.
    #[serde(rename = "l")]
    pub time_limit: Duration,
    /// Number of runners it was sent to before.
    #[serde(rename = "n")]
    pub prior_attempts: u32,
    /// Number of its arrivals at runners that did not run it; zero from hosts of earlier
    /// versions.
    #[serde(rename = "a", default, skip_serializing_if = "is_zero")]
    pub rejections: u32,
    /// True if another coordinator had it before.
    #[serde(rename = "m", default, skip_serializing_if = "std::ops::Not::not")]
    pub resubmitted: bool,
    /// The runner it was sent to last; others are preferred.
    #[serde(rename = "v")]
    pub avoid: Option<RunnerName>,
    /// The stream that it begins or goes on with, if that may resume.
    #[serde(rename = "s", default)]
    pub stream: Option<StreamBinding>,
    /// Parts of its prompt that other requests may share.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<PromptPart>,
    /// Identity of what it asks for; none from hosts of earlier versions.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<RequestDigest>,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl PlacementRequest {
    /// Returns true if the request has arrived at a runner before.
    #[must_use]
    pub fn is_retry(&self) -> bool {
        self.prior_attempts > 0 || self.rejections > 0
    }

    /// Returns what the request may crash its runner with.
    #[must_use]
    pub fn suspects(&self) -> SuspectList {
        SuspectList::new(self.parts.iter().copied(), self.digest)
    }
}

/// Update on one request, sent by a host to its coordinator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RequestUpdate {
    /// The request waits for a runner.
    #[serde(rename = "q")]
    Submit(Box<PlacementRequest>),
    /// The request runs at this runner, placed by another coordinator.
    #[serde(rename = "a")]
    Adopt(Box<PlacementRequest>, RunnerName),
    /// The caller disconnected or the time limit ended before the request was sent.
    #[serde(rename = "w")]
    Withdraw(RequestId),
    /// The runner is known not to have run the request; requeues it.
    #[serde(rename = "b")]
    Requeue(RequestId, RetryReason),
    /// The first token or byte of the response arrived.
    #[serde(rename = "f")]
    FirstToken(RequestId),
    /// The request ended at its runner.
    #[serde(rename = "e")]
    Ended(RequestId, DispatchEnd),
}

/// Reply of a coordinator to a host about one request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PlacementReply {
    /// Send the request to this runner now. For a request that is bound to a stream,
    /// the runner's software version; never given by hosts of earlier versions.
    #[serde(rename = "g")]
    Grant(RequestId, RunnerName, #[serde(default)] Option<RunnerVersion>),
    /// Refuse the request; the caller may try again after this time.
    #[serde(rename = "r")]
    Refuse(RequestId, NotRunReason, Duration),
}

//! Events between an entry and the owner of a pool.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{HostId, RequestId, RunnerName},
    outcome::{NotRunReason, RetryReason, UnknownReason},
    request::{DispatchEnd, Grant},
    time::MonoTime,
};

use super::Submission;

/// Event from an entry to the owner of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EntryEvent {
    /// The entry has waiting requests. Renews the validity of later grants.
    Refresh,
    /// A request waits for a grant. Submitting a granted request again makes
    /// the owner send its grant again.
    Submit(Box<Submission>),
    /// The entry withdrew the request before its dispatch and does not submit
    /// it again.
    Withdraw(RequestId),
    /// A grant arrived for a request that the entry no longer holds: it was
    /// withdrawn or its dispatch ended.
    NotHeld(RequestId),
    /// The entry did not use a grant. The request is queued again.
    GrantUnused {
        /// The request.
        id: RequestId,
        /// Why the grant was not used.
        reason: RetryReason,
    },
    /// The entry used the grant.
    Dispatched(RequestId),
    /// The first token or byte of the response arrived.
    FirstToken(RequestId),
    /// A runner announced that it is leaving.
    RunnerLeaving(RunnerName),
    /// The dispatch ended.
    Ended {
        /// The request.
        id: RequestId,
        /// How it ended.
        end: DispatchEnd,
    },
    /// The request is in progress under the grant of an earlier owner.
    Adopt {
        /// The request.
        submission: Box<Submission>,
        /// The runner that it was dispatched to.
        runner: RunnerName,
    },
}

/// Response to a repeated request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RepeatResponse {
    /// The response of the first request is available at the host that holds
    /// the request.
    Attach {
        /// The first request.
        id: RequestId,
        /// The host that holds it.
        holder: HostId,
    },
    /// The first request may have run and its response is not available.
    Unknown(UnknownReason),
}

/// Event from the owner of a pool to an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OwnerEvent {
    /// A request may be dispatched.
    Granted {
        /// The grant.
        grant: Grant,
        /// Time by the entry's clock at which it sent the latest event that the
        /// owner has received. The grant's lifetime counts from here.
        #[serde(rename = "asked_at")]
        entry_sent_at: MonoTime,
    },
    /// Submit all requests again: the owner considered the entry down, or
    /// events to it may be lost.
    SubmitAgain,
    /// A request is refused.
    Refused {
        /// The request.
        id: RequestId,
        /// Why.
        reason: NotRunReason,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// A request repeats an earlier one.
    Repeat {
        /// The repeated request.
        id: RequestId,
        /// The response to its caller.
        #[serde(rename = "answer")]
        response: RepeatResponse,
    },
}

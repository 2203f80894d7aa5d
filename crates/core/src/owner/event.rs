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

/// An event that an entry tells the owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EntryEvent {
    /// The entry still wants grants. Renews the validity of later grants.
    Refresh,
    /// A request waits. A repeated submission of a granted request makes the
    /// owner send its grant again.
    Submit(Box<Submission>),
    /// The entry gave the request up before its dispatch, for good.
    Withdraw(RequestId),
    /// A grant came for a request that the entry does not hold any more. It was
    /// given up, or its dispatch has ended.
    NotHeld(RequestId),
    /// The entry did not use a grant. The request waits again.
    GrantUnused {
        /// The request.
        id: RequestId,
        /// Why the grant was not used.
        reason: RetryReason,
    },
    /// The entry used the grant.
    Dispatched(RequestId),
    /// The first token or byte of the answer arrived.
    FirstToken(RequestId),
    /// A runner said that it is leaving.
    RunnerLeaving(RunnerName),
    /// The dispatch ended.
    Ended {
        /// The request.
        id: RequestId,
        /// How it ended.
        end: DispatchEnd,
    },
    /// The request is in progress under an earlier owner's grant.
    Adopt {
        /// The request.
        submission: Box<Submission>,
        /// The runner that it was dispatched to.
        runner: RunnerName,
    },
}

/// What a repeated request is told.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RepeatResponse {
    /// The answer of the first request is at its holder.
    Attach {
        /// The first request.
        id: RequestId,
        /// The host that holds it.
        holder: HostId,
    },
    /// The first request may have run and its answer can't be had.
    Unknown(UnknownReason),
}

/// An event that an owner tells an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OwnerEvent {
    /// A request may be dispatched.
    Granted {
        /// The permission.
        grant: Grant,
        /// The entry's own time at which it sent the latest event that the
        /// owner had received. The grant's lifetime counts from here.
        #[serde(rename = "asked_at")]
        entry_sent_at: MonoTime,
    },
    /// The owner took the entry for dead, or lost what it sent to it: submit
    /// everything again.
    SubmitAgain,
    /// A request is refused.
    Refused {
        /// The request.
        id: RequestId,
        /// Why.
        reason: NotRunReason,
        /// When the caller may try again.
        retry_after: Duration,
    },
    /// A request repeats an earlier one.
    Repeat {
        /// The later request.
        id: RequestId,
        /// What to tell its caller.
        #[serde(rename = "answer")]
        response: RepeatResponse,
    },
}

//! The pool owner beside its ranking: identities of requests, grants in flight,
//! and the standby's copy of the identities.
//!
//! [`Owner`] wraps a [`crate::pool::Pool`]. It speaks to entries in
//! [`EntryEvent`]s and [`OwnerEvent`]s, answers repeated requests from its
//! [`ClaimTable`], and lets a request that must not run twice reach the pool
//! only when its claim is safe: another host, the [`Standby`], has taken a copy,
//! or no standby is recorded and the owner's lease holds. A standby that becomes
//! the owner stops acknowledging its predecessor, so that a predecessor that was
//! paused can't make another claim, whatever its clock says.

mod action;
mod claim;
mod claims;
mod commit;
mod event;
mod held;
mod identity;
mod input;
mod pool_role;
mod repeat;
mod replica;
mod standby;
mod state;
mod submit;
mod upkeep;

pub use self::{
    action::OwnerAction,
    claim::{Claim, ClaimState},
    claims::{CLAIM_RETENTION, ClaimTable, Lookup, MAX_CLAIMS},
    commit::{ClaimCoverage, CommitCondition},
    event::{EntryEvent, OwnerEvent, RepeatResponse},
    identity::{IdempotencyKey, Identity, Submission},
    input::OwnerInput,
    pool_role::PoolRole,
    standby::{Standby, StandbyEvent, StandbyReply},
    state::Owner,
};

//! Owner of a pool: claims of request identities, outstanding grants, and
//! replication of the claims to a standby.
//!
//! [`Owner`] wraps a [`crate::pool::Pool`]. It exchanges [`EntryEvent`]s and
//! [`OwnerEvent`]s with entries and responds to repeated requests from its
//! [`ClaimTable`]. A request that must run at most once enters the pool only
//! after its claim is committed: the [`Standby`] on another host acknowledged a
//! copy, or no standby is recorded and the owner's lease holds. A standby that
//! becomes the owner stops acknowledging its predecessor, so a predecessor that
//! was paused can't commit another claim, whatever its clock says.

mod action;
mod blocked;
mod claim;
mod claim_updates;
mod claims;
mod commit;
mod event;
mod identity;
mod input;
mod pool_role;
mod repeat;
mod replica;
mod standby;
mod state;
mod submit;

pub use self::{
    action::OwnerAction,
    claim::{Claim, ClaimState},
    claims::{CLAIM_RETENTION, ClaimLookup, ClaimTable, MAX_CLAIMS},
    commit::{ClaimCoverage, CommitCondition},
    event::{EntryEvent, OwnerEvent, RepeatResponse},
    identity::{IdempotencyKey, Identity, Submission},
    input::OwnerInput,
    pool_role::PoolRole,
    standby::{Standby, StandbyEvent, StandbyReply},
    state::Owner,
};

//! The answer to a request with an identity that is known already.

use crate::{
    ids::{HostId, RequestId},
    outcome::UnknownReason,
};

use super::{Claim, ClaimState, Identity, RepeatResponse};

/// What to do with a request whose identity is claimed.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum Repeat {
    /// It is the claiming request itself.
    Itself,
    /// Tell its caller.
    Answer(RepeatResponse),
    /// Let it take the claim over: the first request certainly never ran, or may
    /// run again without harm.
    TakeOver,
}

/// Decides on a request whose identity is claimed by `claim`.
pub(super) fn repeat(
    claim: &Claim,
    id: RequestId,
    identity: &Identity,
    holder_gone: impl Fn(&HostId) -> bool,
) -> Repeat {
    if claim.id == id {
        return Repeat::Itself;
    }
    if !holder_gone(&claim.entry) {
        let holder = claim.entry.clone();
        return Repeat::Answer(RepeatResponse::Attach { id: claim.id, holder });
    }
    if claim.state == ClaimState::Waiting || identity.idempotent {
        return Repeat::TakeOver;
    }
    Repeat::Answer(RepeatResponse::Unknown(UnknownReason::HolderGone))
}

//! Decision on a request whose identity is already claimed.

use crate::{
    ids::{HostId, RequestId},
    outcome::UnknownReason,
};

use super::{Claim, ClaimState, Identity, RepeatResponse};

/// Decision on a request whose identity is already claimed.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum Repeat {
    /// The request holds the claim itself.
    Itself,
    /// Send this response to its caller.
    Answer(RepeatResponse),
    /// Transfer the claim to it: the first request never ran, or is idempotent.
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

//! Decision on a request whose identity is already claimed.

use crate::{
    ids::{HostId, RequestId},
    outcome::UnknownReason,
};

use super::{Claim, ClaimState, Identity, RepeatResponse};

/// Decision on a request whose identity is already claimed.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum RepeatDecision {
    /// The request holds the claim itself.
    SameRequest,
    /// Send this response to its caller.
    Respond(RepeatResponse),
    /// Transfer the claim to this request: the first one never ran, or the request
    /// is idempotent.
    TakeOver,
}

/// Decides on a request whose identity is claimed by `claim`.
pub(super) fn decide_repeat(
    claim: &Claim,
    id: RequestId,
    identity: &Identity,
    is_down: impl Fn(&HostId) -> bool,
) -> RepeatDecision {
    if claim.id == id {
        return RepeatDecision::SameRequest;
    }
    if !is_down(&claim.entry) {
        let holder = claim.entry.clone();
        return RepeatDecision::Respond(RepeatResponse::Attach { id: claim.id, holder });
    }
    if claim.state == ClaimState::Waiting || identity.idempotent {
        return RepeatDecision::TakeOver;
    }
    RepeatDecision::Respond(RepeatResponse::Unknown(UnknownReason::HolderGone))
}

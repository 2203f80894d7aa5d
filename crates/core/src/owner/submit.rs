//! Submission of a request to the owner.

use std::time::Duration;

use crate::{
    ids::HostId,
    outcome::{NotRunReason, UnknownReason},
    pool::PoolInput,
    request::RequestRecord,
    time::MonoTime,
};

use super::{
    Claim, ClaimLookup, ClaimState, CommitCondition, Identity, MAX_CLAIMS, Owner, OwnerAction,
    OwnerEvent, RepeatResponse, Submission,
    repeat::{RepeatDecision, decide_repeat},
};

/// Time after which the caller of a refused request may try again.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Owner {
    pub(super) fn submit(
        &mut self,
        now: MonoTime,
        submission: Submission,
        out: &mut Vec<OwnerAction>,
    ) {
        let Submission { record, identity } = submission;
        if let Some(grant) = self.granted.get(&record.id).cloned() {
            self.send_grant(&record.entry, grant, out);
            return;
        }
        match identity {
            Some(identity) => self.submit_with_identity(now, record, identity, out),
            None => self.pool_input(now, PoolInput::Submit(record), out),
        }
    }

    fn submit_with_identity(
        &mut self,
        now: MonoTime,
        record: RequestRecord,
        identity: Identity,
        out: &mut Vec<OwnerAction>,
    ) {
        self.claims.expire(now);
        let decision = match self.claims.look_up(&identity) {
            ClaimLookup::OtherDigest => {
                refuse(&record, NotRunReason::IdentityReused, out);
                return;
            }
            ClaimLookup::Unclaimed => None,
            ClaimLookup::SameDigest(claim) => {
                Some(decide_repeat(claim, record.id, &identity, |host| {
                    self.down_entries.contains(host)
                }))
            }
        };
        match decision {
            Some(RepeatDecision::Respond(response)) => respond_to_repeat(&record, response, out),
            Some(RepeatDecision::SameRequest) => self.resubmit_claimed(now, record, out),
            Some(RepeatDecision::TakeOver) => self.claim(now, record, identity, out),
            None if !identity.idempotent && !self.coverage.is_complete(now) => {
                let response = RepeatResponse::Unknown(UnknownReason::BeyondMemory);
                respond_to_repeat(&record, response, out);
            }
            None => self.claim(now, record, identity, out),
        }
    }

    /// Submits a claimed request to the pool unless it waits for the standby's
    /// acknowledgement.
    fn resubmit_claimed(
        &mut self,
        now: MonoTime,
        record: RequestRecord,
        out: &mut Vec<OwnerAction>,
    ) {
        if !self.uncommitted.contains(&record.id) {
            self.pool_input(now, PoolInput::Submit(record), out);
        }
    }

    fn claim(
        &mut self,
        now: MonoTime,
        record: RequestRecord,
        identity: Identity,
        out: &mut Vec<OwnerAction>,
    ) {
        let idempotent = identity.idempotent;
        let full = self.claims.len() >= MAX_CLAIMS;
        if idempotent && full {
            return self.pool_input(now, PoolInput::Submit(record), out);
        }
        if full {
            return respond_unchecked(&record, out);
        }
        if !idempotent && !self.can_commit(now) {
            let blocked = Submission { record, identity: Some(identity) };
            out.push(OwnerAction::SetTimer(self.blocked.add(now, blocked)));
            return;
        }
        let (entry, id) = (record.entry.clone(), record.id);
        let claim = Claim { identity, entry, id, state: ClaimState::Waiting };
        if let Some(old) = self.claims.insert(now, claim.clone()) {
            self.uncommitted.remove(&old);
        }
        match &mut self.replica {
            Some(replica) if !idempotent => {
                self.uncommitted.insert(id);
                replica.send(claim, Some(record), out);
            }
            _ => self.pool_input(now, PoolInput::Submit(record), out),
        }
    }

    /// Responds to blocked requests that expired, and submits the others again
    /// if claims can be committed.
    pub(super) fn submit_blocked(&mut self, now: MonoTime, out: &mut Vec<OwnerAction>) {
        while let Some(expired) = self.blocked.take_expired(now) {
            respond_unchecked(&expired.record, out);
        }
        if self.can_commit(now) {
            for submission in self.blocked.take() {
                self.submit(now, submission, out);
            }
        }
    }

    /// True if a claim can be committed, at once or after the standby's
    /// acknowledgement.
    fn can_commit(&self, now: MonoTime) -> bool {
        match &self.commit_condition {
            CommitCondition::Blocked => false,
            CommitCondition::LeaseOnly { until } => now < *until,
            CommitCondition::StandbyAck(host) => {
                self.replica.as_ref().is_some_and(|r| r.host() == host)
            }
        }
    }
}

/// Responds that an earlier attempt through another host may have run.
fn respond_unchecked(record: &RequestRecord, out: &mut Vec<OwnerAction>) {
    respond_to_repeat(record, RepeatResponse::Unknown(UnknownReason::Unchecked), out);
}

fn respond_to_repeat(record: &RequestRecord, response: RepeatResponse, out: &mut Vec<OwnerAction>) {
    send_to_entry(&record.entry, OwnerEvent::Repeat { id: record.id, response }, out);
}

fn refuse(record: &RequestRecord, reason: NotRunReason, out: &mut Vec<OwnerAction>) {
    let retry_after = REFUSAL_RETRY_AFTER;
    send_to_entry(&record.entry, OwnerEvent::Refused { id: record.id, reason, retry_after }, out);
}

fn send_to_entry(entry: &HostId, event: OwnerEvent, out: &mut Vec<OwnerAction>) {
    out.push(OwnerAction::SendToEntry { entry: entry.clone(), event });
}

//! Arrival of a request at the owner.

use std::time::Duration;

use crate::{
    ids::HostId,
    outcome::{NotRunReason, UnknownReason},
    pool::PoolInput,
    request::RequestRecord,
    time::MonoTime,
};

use super::{
    Claim, ClaimState, CommitCondition, Identity, Lookup, MAX_CLAIMS, Owner, OwnerAction,
    OwnerEvent, RepeatResponse, Submission,
    repeat::{Repeat, repeat},
};

/// Time after which a caller may try again when its claim can't be made.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

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
            Some(identity) => self.submit_identified(now, record, identity, out),
            None => self.pool_input(now, PoolInput::Submit(record), out),
        }
    }

    fn submit_identified(
        &mut self,
        now: MonoTime,
        record: RequestRecord,
        identity: Identity,
        out: &mut Vec<OwnerAction>,
    ) {
        self.claims.expire(now);
        let decision = match self.claims.look_up(&identity) {
            Lookup::OtherBody => {
                refuse(&record, NotRunReason::IdentityReused, out);
                return;
            }
            Lookup::Fresh => None,
            Lookup::Same(claim) => {
                Some(repeat(claim, record.id, &identity, |host| self.gone.contains(host)))
            }
        };
        match decision {
            Some(Repeat::Answer(response)) => answer_repeat(&record, response, out),
            Some(Repeat::Itself) => self.submit_again(now, record, out),
            Some(Repeat::TakeOver) => self.claim(now, record, identity, out),
            None if !identity.idempotent && !self.memory.is_complete(now) => {
                let response = RepeatResponse::Unknown(UnknownReason::BeyondMemory);
                answer_repeat(&record, response, out);
            }
            None => self.claim(now, record, identity, out),
        }
    }

    /// A claimed request that is not waiting for the standby may enter the pool.
    fn submit_again(&mut self, now: MonoTime, record: RequestRecord, out: &mut Vec<OwnerAction>) {
        if !self.unproved.contains(&record.id) {
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
            return unchecked(&record, out);
        }
        if !idempotent && !self.can_claim(now) {
            let held = Submission { record, identity: Some(identity) };
            out.push(OwnerAction::SetTimer(self.held.add(now, held)));
            return;
        }
        let (entry, id) = (record.entry.clone(), record.id);
        let claim = Claim { identity, entry, id, state: ClaimState::Waiting };
        if let Some(old) = self.claims.insert(now, claim.clone()) {
            self.unproved.remove(&old);
        }
        match &mut self.replica {
            Some(replica) if !idempotent => {
                self.unproved.insert(id);
                replica.send(claim, Some(record), out);
            }
            _ => self.pool_input(now, PoolInput::Submit(record), out),
        }
    }

    /// Decides anew on requests that waited for their claim to become safe.
    pub(super) fn review_held(&mut self, now: MonoTime, out: &mut Vec<OwnerAction>) {
        while let Some(overdue) = self.held.take_overdue(now) {
            unchecked(&overdue.record, out);
        }
        if self.can_claim(now) {
            for submission in self.held.take() {
                self.submit(now, submission, out);
            }
        }
    }

    /// True if a claim can be made safe, at once or by the standby.
    fn can_claim(&self, now: MonoTime) -> bool {
        match &self.guard {
            CommitCondition::Blocked => false,
            CommitCondition::LeaseOnly { until } => now < *until,
            CommitCondition::StandbyAck(host) => {
                self.replica.as_ref().is_some_and(|r| r.host() == host)
            }
        }
    }
}

/// Nobody can tell whether the request ran before by way of another host.
fn unchecked(record: &RequestRecord, out: &mut Vec<OwnerAction>) {
    answer_repeat(record, RepeatResponse::Unknown(UnknownReason::Unchecked), out);
}

fn answer_repeat(record: &RequestRecord, response: RepeatResponse, out: &mut Vec<OwnerAction>) {
    tell(&record.entry, OwnerEvent::Repeat { id: record.id, response }, out);
}

fn refuse(record: &RequestRecord, reason: NotRunReason, out: &mut Vec<OwnerAction>) {
    let retry_after = CLAIM_RETRY_AFTER;
    tell(&record.entry, OwnerEvent::Refused { id: record.id, reason, retry_after }, out);
}

fn tell(entry: &HostId, event: OwnerEvent, out: &mut Vec<OwnerAction>) {
    out.push(OwnerAction::SendToEntry { entry: entry.clone(), event });
}

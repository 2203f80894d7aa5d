//! Updates of existing claims and their replication to the standby.

use crate::{
    ids::{HostId, RequestId},
    outcome::UnknownReason,
    pool::PoolInput,
    request::RequestRecord,
    time::MonoTime,
};

use super::{
    Claim, ClaimLookup, ClaimState, CommitCondition, Owner, OwnerAction, OwnerEvent,
    RepeatResponse, StandbyEvent, StandbyReply, Submission, replica::Replica,
};

impl Owner {
    /// Records the claim of a request that an earlier owner granted.
    pub(super) fn adopt_claim(
        &mut self,
        now: MonoTime,
        submission: &Submission,
        out: &mut Vec<OwnerAction>,
    ) {
        let Submission { record, identity } = submission;
        let Some(identity) = identity else { return };
        if self.claims.look_up(identity) != ClaimLookup::Unclaimed {
            self.claims.advance(now, record.id, ClaimState::Granted);
            return;
        }
        let (entry, id, identity) = (record.entry.clone(), record.id, identity.clone());
        let claim = Claim { identity, entry, id, state: ClaimState::Granted };
        self.claims.insert(now, claim.clone());
        if let Some(replica) = &mut self.replica {
            replica.send(claim, None, out);
        }
    }

    pub(super) fn entry_down(&mut self, now: MonoTime, entry: HostId, out: &mut Vec<OwnerAction>) {
        self.entry_sent_at.remove(&entry);
        self.blocked.remove_entry(&entry);
        self.down_entries.insert(entry.clone());
        for id in self.claims.requests_of_entry(&entry) {
            self.granted.remove(&id);
            self.end_if_granted(now, id, out);
        }
        self.pool_input(now, PoolInput::EntryDown(entry), out);
    }

    /// Ends the claim of a granted request whose entry is down: no report of its
    /// end will arrive.
    fn end_if_granted(&mut self, now: MonoTime, id: RequestId, out: &mut Vec<OwnerAction>) {
        if self.claims.state(id) == Some(ClaimState::Granted) {
            self.end_claim(now, id, out);
        }
    }

    pub(super) fn end_claim(&mut self, now: MonoTime, id: RequestId, out: &mut Vec<OwnerAction>) {
        if !self.claims.advance(now, id, ClaimState::Ended) {
            return;
        }
        if let Some(replica) = &self.replica {
            let event = StandbyEvent::Ended(id);
            out.push(OwnerAction::Replicate { standby: replica.host().clone(), event });
        }
    }

    pub(super) fn release(&mut self, entry: &HostId, id: RequestId, out: &mut Vec<OwnerAction>) {
        if !self.claims.release(entry, id) {
            return;
        }
        if let Some(replica) = &self.replica {
            let event = StandbyEvent::Release { entry: entry.clone(), id };
            out.push(OwnerAction::Replicate { standby: replica.host().clone(), event });
        }
    }

    pub(super) fn set_standby(
        &mut self,
        now: MonoTime,
        host: Option<HostId>,
        out: &mut Vec<OwnerAction>,
    ) {
        let remaining = self.coverage.incomplete_for(now);
        let old = self.replica.take();
        let number = old.as_ref().map_or(self.next_number, Replica::next_number);
        self.next_number = number;
        let unacknowledged = old.map(Replica::into_unacknowledged).unwrap_or_default();
        match host {
            Some(host) => {
                self.replica = Some(Replica::new(
                    now,
                    host,
                    number,
                    &self.claims,
                    remaining,
                    unacknowledged,
                    out,
                ));
            }
            None => {
                for record in unacknowledged {
                    self.fail_uncommitted(&record, out);
                }
            }
        }
    }

    /// Sends a new snapshot if the standby's acknowledgement is overdue.
    pub(super) fn resend_overdue(&mut self, now: MonoTime, out: &mut Vec<OwnerAction>) {
        let overdue = self.replica.as_ref().filter(|replica| replica.is_overdue(now));
        if let Some(host) = overdue.map(|replica| replica.host().clone()) {
            self.set_standby(now, Some(host), out);
        }
    }

    /// Fails a request whose claim no standby acknowledged. It was never granted,
    /// but another owner may have granted the same identity.
    fn fail_uncommitted(&mut self, record: &RequestRecord, out: &mut Vec<OwnerAction>) {
        if !self.uncommitted.remove(&record.id) {
            return;
        }
        self.release(&record.entry, record.id, out);
        let response = RepeatResponse::Unknown(UnknownReason::Unchecked);
        let event = OwnerEvent::Repeat { id: record.id, response };
        out.push(OwnerAction::SendToEntry { entry: record.entry.clone(), event });
    }

    pub(super) fn standby_reply(
        &mut self,
        now: MonoTime,
        host: &HostId,
        reply: StandbyReply,
        out: &mut Vec<OwnerAction>,
    ) {
        let Some(replica) = self.replica.as_mut().filter(|r| r.host() == host) else { return };
        let number = match reply {
            StandbyReply::Acknowledged(number) => number,
            StandbyReply::Superseded(_) => {
                self.commit_condition = CommitCondition::Blocked;
                return;
            }
        };
        let outcome = replica.acknowledged(now, number);
        if outcome.became_ready {
            out.push(OwnerAction::StandbyReady(host.clone()));
        }
        for record in outcome.records {
            let committed = self.uncommitted.remove(&record.id);
            if committed && !self.down_entries.contains(&record.entry) {
                self.pool_input(now, PoolInput::Submit(record), out);
            }
        }
    }
}

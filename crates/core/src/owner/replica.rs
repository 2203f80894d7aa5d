//! Owner's side of the replication of claims to the standby.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::HostId, request::RequestRecord, time::MonoTime};

use super::{Claim, ClaimTable, OwnerAction, StandbyEvent};

/// Time after which an event or its acknowledgement is considered lost.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// Owner's side of the replication of claims to the standby.
#[derive(Debug)]
pub(super) struct Replica {
    host: HostId,
    snapshot: u64,
    next: u64,
    ready: bool,
    /// Time of the snapshot or of the last acknowledgement.
    active: MonoTime,
    waiting: BTreeMap<u64, Vec<RequestRecord>>,
}

/// Effect of an acknowledgement.
#[derive(Debug, Default)]
pub(super) struct Taken {
    pub(super) became_ready: bool,
    pub(super) records: Vec<RequestRecord>,
}

impl Replica {
    /// Sends a snapshot of all claims. `waiting` holds the requests whose claims
    /// no earlier standby acknowledged.
    pub(super) fn new(
        now: MonoTime,
        host: HostId,
        number: u64,
        claims: &ClaimTable,
        incomplete_for: Duration,
        waiting: Vec<RequestRecord>,
        out: &mut Vec<OwnerAction>,
    ) -> Self {
        let claims = claims.iter().cloned().collect();
        let event = StandbyEvent::Snapshot { number, claims, incomplete_for };
        out.push(OwnerAction::Replicate { standby: host.clone(), event });
        let waiting: BTreeMap<_, _> =
            [(number, waiting)].into_iter().filter(|(_, w)| !w.is_empty()).collect();
        Self { host, snapshot: number, next: number + 1, ready: false, active: now, waiting }
    }

    pub(super) fn host(&self) -> &HostId {
        &self.host
    }

    /// Sequence number of the next event.
    pub(super) fn next(&self) -> u64 {
        self.next
    }

    /// Sends one claim. Its request, if given, waits for the acknowledgement.
    pub(super) fn send(
        &mut self,
        claim: Claim,
        record: Option<RequestRecord>,
        out: &mut Vec<OwnerAction>,
    ) {
        let number = self.next;
        self.next += 1;
        self.waiting.insert(number, record.into_iter().collect());
        let event = StandbyEvent::Claim { number, claim };
        out.push(OwnerAction::Replicate { standby: self.host.clone(), event });
    }

    /// True if an acknowledgement is outstanding and [`ACK_TIMEOUT`] has passed
    /// since the snapshot or the last acknowledgement.
    pub(super) fn is_overdue(&self, now: MonoTime) -> bool {
        let owed = !self.ready || !self.waiting.is_empty();
        owed && now >= self.active + ANSWER_LIMIT
    }

    /// Handles an acknowledgement of every event up to `number`.
    pub(super) fn taken(&mut self, now: MonoTime, number: u64) -> Taken {
        if number < self.snapshot {
            return Taken::default();
        }
        self.active = now;
        let became_ready = !self.ready;
        self.ready = true;
        let later = self.waiting.split_off(&(number + 1));
        let records = std::mem::replace(&mut self.waiting, later);
        Taken { became_ready, records: records.into_values().flatten().collect() }
    }

    /// Requests that wait for an acknowledgement.
    pub(super) fn into_waiting(self) -> Vec<RequestRecord> {
        self.waiting.into_values().flatten().collect()
    }
}

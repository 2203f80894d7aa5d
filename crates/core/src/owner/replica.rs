//! Owner's side of the replication of claims to the standby.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::HostId, request::RequestRecord, time::MonoTime};

use super::{Claim, ClaimTable, OwnerAction, StandbyEvent};

/// Time since the snapshot or the last acknowledgement after which an
/// outstanding event or its acknowledgement is considered lost.
const ACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Owner's side of the replication of claims to the standby.
#[derive(Debug)]
pub(super) struct Replica {
    host: HostId,
    snapshot_number: u64,
    next_number: u64,
    ready: bool,
    /// Time of the snapshot or of the last acknowledgement.
    last_progress_at: MonoTime,
    /// Requests that wait for an acknowledgement, by the number of the event.
    unacknowledged: BTreeMap<u64, Vec<RequestRecord>>,
}

/// Effect of an acknowledgement.
#[derive(Debug, Default)]
pub(super) struct AckOutcome {
    pub(super) became_ready: bool,
    pub(super) records: Vec<RequestRecord>,
}

impl Replica {
    /// Sends a snapshot of all claims. `unacknowledged` holds the requests whose
    /// claims no earlier standby acknowledged.
    pub(super) fn new(
        now: MonoTime,
        host: HostId,
        number: u64,
        claims: &ClaimTable,
        incomplete_for: Duration,
        unacknowledged: Vec<RequestRecord>,
        out: &mut Vec<OwnerAction>,
    ) -> Self {
        let claims = claims.iter().cloned().collect();
        let event = StandbyEvent::Snapshot { number, claims, incomplete_for };
        out.push(OwnerAction::Replicate { standby: host.clone(), event });
        let unacknowledged: BTreeMap<_, _> =
            [(number, unacknowledged)].into_iter().filter(|(_, w)| !w.is_empty()).collect();
        Self {
            host,
            snapshot_number: number,
            next_number: number + 1,
            ready: false,
            last_progress_at: now,
            unacknowledged,
        }
    }

    pub(super) fn host(&self) -> &HostId {
        &self.host
    }

    /// Sequence number of the next event.
    pub(super) fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Sends one claim. Its request, if given, waits for the acknowledgement.
    pub(super) fn send(
        &mut self,
        claim: Claim,
        record: Option<RequestRecord>,
        out: &mut Vec<OwnerAction>,
    ) {
        let number = self.next_number;
        self.next_number += 1;
        self.unacknowledged.insert(number, record.into_iter().collect());
        let event = StandbyEvent::Claim { number, claim };
        out.push(OwnerAction::Replicate { standby: self.host.clone(), event });
    }

    /// True if an acknowledgement is outstanding and [`ACK_TIMEOUT`] has passed
    /// since the snapshot or the last acknowledgement.
    pub(super) fn is_overdue(&self, now: MonoTime) -> bool {
        let outstanding = !self.ready || !self.unacknowledged.is_empty();
        outstanding && now >= self.last_progress_at + ACK_TIMEOUT
    }

    /// Handles an acknowledgement of every event up to `number`.
    pub(super) fn acknowledged(&mut self, now: MonoTime, number: u64) -> AckOutcome {
        if number < self.snapshot_number {
            return AckOutcome::default();
        }
        self.last_progress_at = now;
        let became_ready = !self.ready;
        self.ready = true;
        let later = self.unacknowledged.split_off(&(number + 1));
        let records = std::mem::replace(&mut self.unacknowledged, later);
        AckOutcome { became_ready, records: records.into_values().flatten().collect() }
    }

    /// Requests that wait for an acknowledgement.
    pub(super) fn into_unacknowledged(self) -> Vec<RequestRecord> {
        self.unacknowledged.into_values().flatten().collect()
    }
}

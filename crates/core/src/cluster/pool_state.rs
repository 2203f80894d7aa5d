//! One host's view of the ownership of a pool.

use crate::{
    entry::OwnerView,
    ids::{Epoch, HostId},
    time::MonoTime,
};

use super::{PoolRecord, StoredRecord};

/// Pending call to the key-value service for a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Call {
    Idle,
    Read,
    Presence,
    Write(PoolRecord),
    /// Read that determines whether a write was applied.
    ReadBack(PoolRecord),
}

/// One host's view of the ownership of a pool.
#[derive(Clone, Debug)]
pub(super) struct PoolState {
    pub(super) epoch: Epoch,
    pub(super) owner: Option<HostId>,
    /// Standby named by the latest announcement or stored record of another owner.
    pub(super) standby: Option<HostId>,
    pub(super) stored: Option<StoredRecord>,
    pub(super) call: Call,
    pub(super) owned: bool,
    /// True once the owner handed the pool over to this host.
    pub(super) handed_over: bool,
    /// Time since which the pool has no owner that is up.
    pub(super) ownerless_since: Option<MonoTime>,
    pub(super) retry_at: MonoTime,
    /// Standby to which this owner replicates its claims.
    pub(super) selected_standby: Option<HostId>,
    /// True once the selected standby has every claim.
    pub(super) standby_ready: bool,
    /// True while it is not certain which standby is recorded.
    pub(super) standby_uncertain: bool,
    pub(super) verify_at: MonoTime,
}

impl PoolState {
    pub(super) fn new() -> Self {
        Self {
            epoch: Epoch::default(),
            owner: None,
            standby: None,
            stored: None,
            call: Call::Idle,
            owned: false,
            handed_over: false,
            ownerless_since: None,
            retry_at: MonoTime::ZERO,
            selected_standby: None,
            standby_ready: false,
            standby_uncertain: false,
            verify_at: MonoTime::ZERO,
        }
    }

    pub(super) fn view(&self) -> OwnerView {
        OwnerView { owner: self.owner.clone(), epoch: self.epoch }
    }

    pub(super) fn recorded_standby(&self) -> Option<&HostId> {
        self.stored.as_ref()?.record.standby.as_ref()
    }

    /// Revision that the next write expects; zero if there is no record.
    pub(super) fn expected_revision(&self) -> u64 {
        self.stored.as_ref().map_or(0, |stored| stored.revision)
    }
}

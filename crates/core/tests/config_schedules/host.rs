//! One host of a schedule.

use comfreyway_core::{
    config::{
        Change, ChangeWriter, WriterStep,
        sync::{ConfigSync, SyncAction, SyncInput, SyncMessage},
    },
    ids::HostName,
    time::MonoTime,
};

use crate::store::Store;

/// A change being written, with the writer's next step.
pub(crate) struct PendingWrite {
    pub(crate) change: Change,
    pub(crate) writer: ChangeWriter,
    pub(crate) step: WriterStep,
}

/// One incarnation of a host.
pub(crate) struct Host {
    pub(crate) name: HostName,
    pub(crate) sync: ConfigSync,
    pub(crate) pending_writes: Vec<PendingWrite>,
    in_force: u64,
}

impl Host {
    pub(crate) fn new(name: HostName, now: MonoTime) -> Self {
        let sync = ConfigSync::new(name.clone(), now);
        Self { name, sync, pending_writes: Vec::new(), in_force: 0 }
    }

    pub(crate) fn start_write(&mut self, change: Change) {
        let floor = self.sync.accepted().version();
        let writer = ChangeWriter::new(change.clone(), 0).with_min_version(floor);
        let step = writer.start();
        self.pending_writes.push(PendingWrite { change, writer, step });
    }

    /// Handles one input, checks the configuration that is put in force, and
    /// returns the messages to send.
    pub(crate) fn handle(
        &mut self,
        now: MonoTime,
        input: SyncInput,
        store: &Store,
    ) -> Vec<(HostName, SyncMessage)> {
        let mut actions = Vec::new();
        self.sync.handle(now, input, &mut actions);
        let mut sent = Vec::new();
        for action in actions {
            match action {
                SyncAction::Apply(accepted) => {
                    assert!(accepted.version() > self.in_force, "the version decreased");
                    self.in_force = accepted.version();
                    let written = &store.versions[accepted.version() as usize];
                    assert_eq!(accepted.document(), written.document());
                }
                SyncAction::Ready => {
                    let highest = self.sync.peer_versions().into_values().flatten().max();
                    assert!(self.in_force >= highest.unwrap_or(0));
                }
                SyncAction::Send { to, message } => sent.push((to, message)),
                SyncAction::Watch(_) => {}
            }
        }
        sent
    }
}

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

/// A writer and the step that it waits for.
pub(crate) struct Writing {
    pub(crate) change: Change,
    pub(crate) writer: ChangeWriter,
    pub(crate) step: WriterStep,
}

/// One run of a host.
pub(crate) struct Host {
    pub(crate) name: HostName,
    pub(crate) sync: ConfigSync,
    pub(crate) writing: Vec<Writing>,
    in_force: u64,
}

impl Host {
    pub(crate) fn new(name: HostName, now: MonoTime) -> Self {
        let sync = ConfigSync::new(name.clone(), now);
        Self { name, sync, writing: Vec::new(), in_force: 0 }
    }

    pub(crate) fn start_writing(&mut self, change: Change) {
        let floor = self.sync.accepted().version();
        let writer = ChangeWriter::new(change.clone(), 0).with_min_version(floor);
        let step = writer.start();
        self.writing.push(Writing { change, writer, step });
    }

    /// Handles one input, checks what it puts in force, and returns what it
    /// sends.
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
                    assert!(accepted.version() > self.in_force, "the version fell");
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

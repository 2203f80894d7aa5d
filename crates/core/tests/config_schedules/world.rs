//! All hosts, the store and the network of one schedule.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use comfreyway_core::{
    config::{
        AcceptedConfig, Change, ChangeId, ChangeOutcome, Class, Edit, Element, ElementKey,
        SwapReply, WriterStep,
        sync::{ANNOUNCE_INTERVAL, SyncInput, SyncMessage},
    },
    ids::{HostName, Tier},
    request::Target,
    time::MonoTime,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    host::Host,
    store::{DelayedSwap, Store},
};

pub(crate) const HOSTS: usize = 4;
const CLASSES: [&str; 3] = ["quote", "review", "triage"];

pub(crate) struct Packet {
    pub(crate) from: usize,
    pub(crate) to: HostName,
    pub(crate) message: SyncMessage,
}

/// One schedule.
pub(crate) struct World {
    pub(crate) rng: SmallRng,
    pub(crate) now: MonoTime,
    pub(crate) store: Store,
    pub(crate) hosts: Vec<Host>,
    pub(crate) cut_links: BTreeSet<(usize, usize)>,
    pub(crate) packets: Vec<Packet>,
    pub(crate) delayed_reads: Vec<(HostName, Arc<AcceptedConfig>)>,
    submitted: Vec<Change>,
    accepted: Vec<(ChangeId, u64)>,
    refused: Vec<ChangeId>,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let now = MonoTime::ZERO;
        let host = |i: usize| Host::new(HostName::new(&format!("host-{i}")).unwrap(), now);
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            now,
            store: Store::new(),
            hosts: (0..HOSTS).map(host).collect(),
            cut_links: BTreeSet::new(),
            packets: Vec::new(),
            delayed_reads: Vec::new(),
            submitted: Vec::new(),
            accepted: Vec::new(),
            refused: Vec::new(),
        };
        for i in 0..HOSTS {
            world.connect(i);
        }
        world
    }

    pub(crate) fn step(&mut self) {
        let host = self.rng.random_range(0..HOSTS);
        match self.rng.random_range(0..40) {
            0..5 => self.submit_change(host),
            5..16 => self.advance_writer(host),
            16..29 => self.deliver(),
            29..31 => self.apply_delayed_swap(),
            31..33 => self.poll(host),
            33 => self.tick(),
            34 => self.deliver_delayed_read(),
            35 => self.restart(host),
            36 => self.store.down = !self.store.down,
            37 => self.toggle_link(host),
            38 => self.resubmit_change(host),
            _ => self.packets.clear(),
        }
    }

    /// Ends all faults, completes all writes and brings all hosts up to date.
    pub(crate) fn settle(&mut self) {
        self.store.down = false;
        while !self.store.delayed_swaps.is_empty() {
            self.apply_delayed_swap();
        }
        for i in 0..HOSTS {
            while !self.hosts[i].pending_writes.is_empty() {
                self.advance_writer(i);
            }
        }
        self.store.delayed_swaps.clear();
        for (a, b) in std::mem::take(&mut self.cut_links) {
            self.connect_pair(a, b);
        }
        let stored = self.store.newest().clone();
        self.input(0, SyncInput::Stored(stored));
        for _ in 0..=HOSTS {
            self.tick();
            while !self.packets.is_empty() {
                self.deliver_at(0);
            }
        }
    }

    /// Checks the final state of a schedule. Returns the number of accepted
    /// changes.
    pub(crate) fn check(&self) -> u64 {
        for (id, version) in &self.accepted {
            let stored = self.store.versions_by_id.get(id);
            assert!(stored.is_none_or(|stored| stored == version), "{id} is not version {version}");
        }
        for id in &self.refused {
            assert!(!self.store.versions_by_id.contains_key(id), "{id} was refused and applied");
        }
        for host in &self.hosts {
            assert_eq!(host.sync.accepted().version(), self.store.newest().version());
        }
        self.store.newest().version()
    }

    fn submit_change(&mut self, host: usize) {
        let name = CLASSES[self.rng.random_range(0..CLASSES.len())].parse().unwrap();
        let edit = if self.rng.random_ratio(1, 8) {
            Edit::Remove(ElementKey::Class(name))
        } else {
            let limit = Duration::from_millis(self.submitted.len() as u64 + 1);
            let target = Target::Whole(limit);
            let class = Class { tier: Tier(0), target, idempotent: true, cancellable: true };
            Edit::Set(Element::Class(name, class))
        };
        let base = self.hosts[host].sync.accepted().version();
        let id = ChangeId::new(base, self.submitted.len() as u64);
        let change = Change { id, author: "op".parse().unwrap(), edits: vec![edit] };
        self.submitted.push(change.clone());
        self.hosts[host].start_write(change);
    }

    fn resubmit_change(&mut self, host: usize) {
        if !self.submitted.is_empty() {
            let i = self.rng.random_range(0..self.submitted.len());
            self.hosts[host].start_write(self.submitted[i].clone());
        }
    }

    fn advance_writer(&mut self, host: usize) {
        if self.hosts[host].pending_writes.is_empty() {
            return;
        }
        let i = self.rng.random_range(0..self.hosts[host].pending_writes.len());
        let mut write = self.hosts[host].pending_writes.swap_remove(i);
        write.step = match write.step {
            WriterStep::Read { .. } => write.writer.on_read(self.store.read()),
            WriterStep::Swap { expected, next } => {
                let reply = self.swap(expected, next);
                write.writer.on_swap(reply)
            }
            WriterStep::Done(_) => return,
        };
        match write.step {
            WriterStep::Done(outcome) => self.record_outcome(host, write.change.id, outcome),
            _ => self.hosts[host].pending_writes.push(write),
        }
    }

    fn swap(&mut self, expected: u64, next: Box<AcceptedConfig>) -> SwapReply {
        if self.store.down {
            return SwapReply::Failed;
        }
        match self.rng.random_range(0..6) {
            0 => {
                self.store.delayed_swaps.push(DelayedSwap { expected, next });
                SwapReply::Failed
            }
            1 => {
                self.store.swap(expected, &next);
                SwapReply::Failed
            }
            _ if self.store.swap(expected, &next) => SwapReply::Written,
            _ => SwapReply::Mismatch,
        }
    }

    fn record_outcome(&mut self, host: usize, id: ChangeId, outcome: ChangeOutcome) {
        match outcome {
            ChangeOutcome::Accepted { version, newest, .. } => {
                let in_version = &self.store.versions[version as usize];
                let change = self.submitted.iter().find(|change| change.id == id).unwrap();
                for edit in &change.edits {
                    let present = in_version.document().element(&edit.key());
                    assert_eq!(present.as_ref(), edit.value(), "{id} is not in its version");
                }
                self.accepted.push((id, version));
                let input = SyncInput::Stored(Arc::new(*newest));
                let sent = self.hosts[host].handle(self.now, input, &self.store);
                self.send(host, sent);
            }
            ChangeOutcome::Refused(_) => self.refused.push(id),
            ChangeOutcome::Unknown { .. } => {}
        }
    }

    fn apply_delayed_swap(&mut self) {
        if self.store.delayed_swaps.is_empty() {
            return;
        }
        let i = self.rng.random_range(0..self.store.delayed_swaps.len());
        let DelayedSwap { expected, next } = self.store.delayed_swaps.swap_remove(i);
        self.store.swap(expected, &next);
    }

    fn poll(&mut self, host: usize) {
        let Some(read) = self.store.read() else { return };
        let read = Arc::new(read.accepted);
        if self.rng.random_ratio(1, 2) {
            self.delayed_reads.push((self.hosts[host].name.clone(), read));
        } else {
            self.input(host, SyncInput::Stored(read));
        }
    }

    fn deliver_delayed_read(&mut self) {
        let Some((name, read)) = self.delayed_reads.pop() else { return };
        let host = self.hosts.iter().position(|host| host.name == name).unwrap();
        self.input(host, SyncInput::Stored(read));
    }

    fn tick(&mut self) {
        self.now = self.now + ANNOUNCE_INTERVAL;
        for host in 0..HOSTS {
            self.input(host, SyncInput::Tick);
        }
    }

    pub(crate) fn input(&mut self, host: usize, input: SyncInput) {
        let sent = self.hosts[host].handle(self.now, input, &self.store);
        self.send(host, sent);
    }
}

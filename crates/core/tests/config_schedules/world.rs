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
    store::{LateSwap, Store},
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
    pub(crate) cut: BTreeSet<(usize, usize)>,
    pub(crate) packets: Vec<Packet>,
    pub(crate) late_reads: Vec<(HostName, Arc<AcceptedConfig>)>,
    asked: Vec<Change>,
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
            cut: BTreeSet::new(),
            packets: Vec::new(),
            late_reads: Vec::new(),
            asked: Vec::new(),
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
            0..5 => self.ask(host),
            5..16 => self.advance_writer(host),
            16..29 => self.deliver(),
            29..31 => self.land_late_swap(),
            31..33 => self.poll(host),
            33 => self.tick(),
            34 => self.finish_late_read(),
            35 => self.restart(host),
            36 => self.store.down = !self.store.down,
            37 => self.toggle_cut(host),
            38 => self.repeat(host),
            _ => self.packets.clear(),
        }
    }

    /// Heals everything and lets all hosts catch up.
    pub(crate) fn settle(&mut self) {
        self.store.down = false;
        while !self.store.late.is_empty() {
            self.land_late_swap();
        }
        for i in 0..HOSTS {
            while !self.hosts[i].writing.is_empty() {
                self.advance_writer(i);
            }
        }
        self.store.late.clear();
        for (a, b) in std::mem::take(&mut self.cut) {
            self.session(a, b);
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

    /// Checks the end of a schedule. Returns the number of accepted changes.
    pub(crate) fn check(&self) -> u64 {
        for (id, version) in &self.accepted {
            let made = self.store.identities.get(id);
            assert!(made.is_none_or(|made| made == version), "{id} is not version {version}");
        }
        for id in &self.refused {
            assert!(!self.store.identities.contains_key(id), "{id} was refused and applied");
        }
        for host in &self.hosts {
            assert_eq!(host.sync.accepted().version(), self.store.newest().version());
        }
        self.store.newest().version()
    }

    fn ask(&mut self, host: usize) {
        let name = CLASSES[self.rng.random_range(0..CLASSES.len())].parse().unwrap();
        let edit = if self.rng.random_ratio(1, 8) {
            Edit::Remove(ElementKey::Class(name))
        } else {
            let limit = Duration::from_millis(self.asked.len() as u64 + 1);
            let target = Target::Whole(limit);
            let class = Class { tier: Tier(0), target, idempotent: true, cancellable: true };
            Edit::Set(Element::Class(name, class))
        };
        let base = self.hosts[host].sync.accepted().version();
        let id = ChangeId::new(base, self.asked.len() as u64);
        let change = Change { id, author: "op".parse().unwrap(), edits: vec![edit] };
        self.asked.push(change.clone());
        self.hosts[host].start_writing(change);
    }

    fn repeat(&mut self, host: usize) {
        if !self.asked.is_empty() {
            let i = self.rng.random_range(0..self.asked.len());
            self.hosts[host].start_writing(self.asked[i].clone());
        }
    }

    fn advance_writer(&mut self, host: usize) {
        if self.hosts[host].writing.is_empty() {
            return;
        }
        let i = self.rng.random_range(0..self.hosts[host].writing.len());
        let mut writing = self.hosts[host].writing.swap_remove(i);
        writing.step = match writing.step {
            WriterStep::Read { .. } => writing.writer.on_read(self.store.read()),
            WriterStep::Swap { expected, next } => {
                let reply = self.swap(expected, next);
                writing.writer.on_swap(reply)
            }
            WriterStep::Done(_) => return,
        };
        match writing.step {
            WriterStep::Done(outcome) => self.decided(host, writing.change.id, outcome),
            _ => self.hosts[host].writing.push(writing),
        }
    }

    fn swap(&mut self, expected: u64, next: Box<AcceptedConfig>) -> SwapReply {
        if self.store.down {
            return SwapReply::Failed;
        }
        match self.rng.random_range(0..6) {
            0 => {
                self.store.late.push(LateSwap { expected, next });
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

    fn decided(&mut self, host: usize, id: ChangeId, outcome: ChangeOutcome) {
        match outcome {
            ChangeOutcome::Accepted { version, newest, .. } => {
                let in_version = &self.store.versions[version as usize];
                let change = self.asked.iter().find(|change| change.id == id).unwrap();
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

    fn land_late_swap(&mut self) {
        if self.store.late.is_empty() {
            return;
        }
        let i = self.rng.random_range(0..self.store.late.len());
        let LateSwap { expected, next } = self.store.late.swap_remove(i);
        self.store.swap(expected, &next);
    }

    fn poll(&mut self, host: usize) {
        let Some(read) = self.store.read() else { return };
        let read = Arc::new(read.accepted);
        if self.rng.random_ratio(1, 2) {
            self.late_reads.push((self.hosts[host].name.clone(), read));
        } else {
            self.input(host, SyncInput::Stored(read));
        }
    }

    fn finish_late_read(&mut self) {
        let Some((name, read)) = self.late_reads.pop() else { return };
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

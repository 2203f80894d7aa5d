//! After a sync, a host has the state of the host that it synced from.

use proptest::prelude::*;

use super::*;

fn put(key: usize, revision: u64) -> KvEvent {
    let (key, value) = (format!("runners/{key}"), revision.to_string().into_bytes());
    KvEvent::Put(Versioned { key, value, revision: Revision(revision) })
}

fn delete(key: usize, revision: u64) -> KvEvent {
    KvEvent::Delete { key: format!("runners/{key}"), revision: Revision(revision) }
}

/// The entries and the history of a store.
#[derive(Default)]
struct Keys {
    events: Vec<KvEvent>,
    items: BTreeMap<String, Versioned>,
    at: u64,
}

impl Keys {
    fn change(&mut self, key: usize, deleted: bool) {
        self.at += 1;
        let event = if deleted { delete(key, self.at) } else { put(key, self.at) };
        match &event {
            KvEvent::Put(item) => self.items.insert(item.key.clone(), item.clone()),
            KvEvent::Delete { key, .. } => self.items.remove(key),
        };
        self.events.push(event);
    }

    fn list(&self, mirror: &mut Mirror) {
        let items: Vec<_> = self.items.values().cloned().collect();
        mirror.replace(&items, Revision(self.at));
    }

    fn watch(&self, mirror: &mut Mirror) {
        take(mirror, self.events.clone(), Revision(self.at));
    }
}

fn take(mirror: &mut Mirror, mut events: Vec<KvEvent>, at: Revision) {
    events.retain(|event| mirror.is_news(event));
    mirror.change(&events, at);
}

fn take_changes(host: &mut Mirror, changes: ChangeSet) {
    if host.continues(&changes) {
        let (events, at) = changes.into_events();
        take(host, events, at);
    }
}

/// Syncs a host, which receives only the first `arrive` change messages.
fn tell(host: &mut Mirror, coordinator: &Mirror, arrive: usize) {
    let CatchUp { changes, complete } = coordinator.since(host.at());
    let all = arrive >= changes.len();
    changes.into_iter().take(arrive).for_each(|changes| take_changes(host, changes));
    if all && host.is_completed_by(&complete) && complete.at() >= host.at() {
        let gone = host.gone(&complete);
        take(host, gone, complete.at());
    }
}

/// The coordinator watches the store and forwards the changes to a host that
/// may lack earlier ones.
fn pass_on(host: &mut Mirror, coordinator: &mut Mirror, keys: &Keys) {
    let before = coordinator.at();
    let mut events = keys.events.clone();
    events.retain(|event| coordinator.is_news(event));
    coordinator.change(&events, Revision(keys.at));
    take_changes(host, ChangeSet::new(&events, before, coordinator.at()));
}

#[test]
fn only_what_changed_is_told() {
    let (mut keys, mut host, mut coordinator) =
        (Keys::default(), Mirror::default(), Mirror::default());
    (0..3_000).for_each(|key| keys.change(key, false));
    keys.list(&mut coordinator);
    keys.list(&mut host);
    keys.change(7, false);
    keys.change(8, true);
    keys.watch(&mut coordinator);
    let told = coordinator.since(host.at());
    assert_eq!(told.complete.keys, None);
    let items: Vec<_> = told.changes.iter().flat_map(|changes| &changes.items).collect();
    assert_eq!(items.len(), 2);
    tell(&mut host, &coordinator, usize::MAX);
    assert_eq!(host.items, keys.items);
}

#[test]
fn a_younger_coordinator_tells_no_value_that_is_known() {
    let (mut keys, mut host, mut coordinator) =
        (Keys::default(), Mirror::default(), Mirror::default());
    (0..3_000).for_each(|key| keys.change(key, false));
    keys.list(&mut host);
    keys.change(5, true);
    keys.change(6, false);
    keys.list(&mut coordinator);
    let told = coordinator.since(host.at());
    assert_eq!(told.changes.iter().map(|changes| changes.items.len()).sum::<usize>(), 1);
    assert_eq!(told.complete.keys.as_ref().map(Vec::len), Some(2_999));
    tell(&mut host, &coordinator, usize::MAX);
    assert_eq!(host.items, keys.items);
}

#[test]
fn many_changes_go_out_in_several_messages() {
    let (mut keys, mut host, mut coordinator) =
        (Keys::default(), Mirror::default(), Mirror::default());
    keys.change(0, false);
    keys.list(&mut host);
    keys.list(&mut coordinator);
    (1..2_500).for_each(|key| keys.change(key, false));
    keys.watch(&mut coordinator);
    let told = coordinator.since(host.at());
    assert_eq!(told.changes.len(), 3);
    assert!(told.changes.is_sorted_by_key(|changes| changes.at));
}

#[test]
fn forgotten_deletions_are_told_by_what_is_left() {
    let (mut keys, mut host, mut coordinator) =
        (Keys::default(), Mirror::default(), Mirror::default());
    (0..MAX_DELETIONS + 10).for_each(|key| keys.change(key, false));
    keys.list(&mut host);
    keys.list(&mut coordinator);
    (0..MAX_DELETIONS + 5).for_each(|key| keys.change(key, true));
    keys.watch(&mut coordinator);
    assert!(coordinator.deletions.len() <= MAX_DELETIONS);
    tell(&mut host, &coordinator, usize::MAX);
    assert_eq!(host.items, keys.items);
}

#[derive(Clone, Debug)]
enum Step {
    Change(usize, bool),
    CoordinatorWatches,
    CoordinatorLists,
    HostWatches,
    HostAsks,
    HostHearsPart(usize),
    CoordinatorPassesOn,
    CoordinatorStartsAnew,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0_usize..6, any::<bool>()).prop_map(|(key, deleted)| Step::Change(key, deleted)),
        3 => Just(Step::CoordinatorWatches),
        1 => Just(Step::CoordinatorLists),
        1 => Just(Step::HostWatches),
        3 => Just(Step::HostAsks),
        1 => (0_usize..2).prop_map(Step::HostHearsPart),
        2 => Just(Step::CoordinatorPassesOn),
        1 => Just(Step::CoordinatorStartsAnew),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(26),
        cases: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn whoever_was_told_knows_as_much(steps in prop::collection::vec(step(), 1..60)) {
        let (mut keys, mut host, mut coordinator) =
            (Keys::default(), Mirror::default(), Mirror::default());
        keys.change(0, false);
        keys.list(&mut host);
        keys.list(&mut coordinator);
        for step in steps {
            match step {
                Step::Change(key, deleted) => keys.change(key, deleted),
                Step::CoordinatorWatches => keys.watch(&mut coordinator),
                Step::CoordinatorLists => keys.list(&mut coordinator),
                Step::HostWatches => keys.watch(&mut host),
                Step::HostAsks => {
                    if coordinator.at() >= host.at() {
                        tell(&mut host, &coordinator, usize::MAX);
                        prop_assert_eq!(&host.items, &coordinator.items);
                        prop_assert_eq!(host.at(), coordinator.at());
                    }
                }
                Step::HostHearsPart(messages) => {
                    tell(&mut host, &coordinator, messages);
                }
                Step::CoordinatorPassesOn => pass_on(&mut host, &mut coordinator, &keys),
                Step::CoordinatorStartsAnew => {
                    coordinator = Mirror::default();
                    keys.list(&mut coordinator);
                }
            }
        }
        keys.watch(&mut host);
        prop_assert_eq!(&host.items, &keys.items);
    }
}

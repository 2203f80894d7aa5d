//! After a sync, a host has the state of the host that it synced from.

use proptest::prelude::*;

use super::*;

fn put(key: usize, revision: Revision, value: u64) -> KvEvent {
    let (key, value) = (format!("runners/{key}"), value.to_string().into_bytes());
    KvEvent::Put(Versioned { key, value, revision })
}

fn delete(key: usize, revision: Revision) -> KvEvent {
    KvEvent::Delete { key: format!("runners/{key}"), revision }
}

/// The values, without the revisions: an unchanged value keeps its revision of the
/// era before at the hosts that knew it.
fn values(items: &BTreeMap<String, Versioned>) -> BTreeMap<&str, &[u8]> {
    items.iter().map(|(key, item)| (key.as_str(), item.value.as_slice())).collect()
}

/// The entries and the history of a store.
#[derive(Clone, Default)]
struct TestStore {
    events: Vec<KvEvent>,
    items: BTreeMap<String, Versioned>,
    /// Era and number.
    revision: Revision,
    /// Number of writes, which is their value.
    writes: u64,
    copy: Option<Box<Self>>,
}

impl TestStore {
    fn change(&mut self, key: usize, deleted: bool) {
        self.revision.0 += 1;
        self.writes += 1;
        let event = match deleted {
            true => delete(key, self.revision),
            false => put(key, self.revision, self.writes),
        };
        match &event {
            KvEvent::Put(item) => self.items.insert(item.key.clone(), item.clone()),
            KvEvent::Delete { key, .. } => self.items.remove(key),
        };
        self.events.push(event);
    }

    fn take_copy(&mut self) {
        self.copy = Some(Box::new(Self { copy: None, ..self.clone() }));
    }

    /// Comes back from the copy, in a new era.
    fn roll_back(&mut self) {
        let Some(copy) = self.copy.clone() else { return };
        let era = self.revision.era() + 1;
        let restamp = |revision: Revision| Revision::new(era, revision.number());
        let mut items = copy.items;
        items.values_mut().for_each(|item| item.revision = restamp(item.revision));
        let revision = restamp(copy.revision);
        *self = Self { events: Vec::new(), items, revision, ..self.clone() };
    }

    fn list(&self, mirror: &mut StoreMirror) {
        let items: Vec<_> = self.items.values().cloned().collect();
        mirror.replace(&items, self.revision);
    }

    /// Watches, or lists if the mirror is of an earlier era.
    fn watch(&self, mirror: &mut StoreMirror) {
        match mirror.revision().era() == self.revision.era() {
            true => apply(mirror, self.events.clone(), self.revision),
            false => self.list(mirror),
        }
    }
}

fn apply(mirror: &mut StoreMirror, mut events: Vec<KvEvent>, revision: Revision) {
    events.retain(|event| mirror.is_newer(event));
    mirror.apply(&events, revision);
}

fn apply_changes(host: &mut StoreMirror, changes: ChangeSet) {
    if host.can_apply(&changes) {
        let (events, revision) = changes.into_events();
        apply(host, events, revision);
    }
}

/// Syncs a host, which receives only the first `delivered` change messages.
fn sync(host: &mut StoreMirror, coordinator: &StoreMirror, delivered: usize) {
    deliver(host, coordinator.changes_since(host.revision()), delivered);
}

/// Delivers the first change messages, and the end if all are delivered.
fn deliver(host: &mut StoreMirror, SyncMessages { changes, end }: SyncMessages, delivered: usize) {
    let all = delivered >= changes.len();
    changes.into_iter().take(delivered).for_each(|changes| apply_changes(host, changes));
    if all && host.can_finish_sync(&end) && end.revision() >= host.revision() {
        let deletions = host.missing_deletions(&end);
        apply(host, deletions, end.revision());
    }
}

/// The coordinator watches the store and forwards the changes to a host that
/// may lack earlier ones.
fn forward(host: &mut StoreMirror, coordinator: &mut StoreMirror, store: &TestStore) {
    let before = coordinator.revision();
    if before.era() != store.revision.era() {
        store.list(coordinator);
        deliver(host, coordinator.changes_since(before), usize::MAX);
        return;
    }
    let mut events = store.events.clone();
    events.retain(|event| coordinator.is_newer(event));
    coordinator.apply(&events, store.revision);
    apply_changes(host, ChangeSet::new(&events, before, coordinator.revision()));
}

#[test]
fn a_sync_sends_only_changed_keys() {
    let (mut store, mut host, mut coordinator) =
        (TestStore::default(), StoreMirror::default(), StoreMirror::default());
    (0..3_000).for_each(|key| store.change(key, false));
    store.list(&mut coordinator);
    store.list(&mut host);
    store.change(7, false);
    store.change(8, true);
    store.watch(&mut coordinator);
    let messages = coordinator.changes_since(host.revision());
    assert_eq!(messages.end.keys, None);
    let items: Vec<_> = messages.changes.iter().flat_map(|changes| &changes.items).collect();
    assert_eq!(items.len(), 2);
    sync(&mut host, &coordinator, usize::MAX);
    assert_eq!(host.items, store.items);
}

#[test]
fn a_sync_after_a_newer_listing_sends_no_known_value() {
    let (mut store, mut host, mut coordinator) =
        (TestStore::default(), StoreMirror::default(), StoreMirror::default());
    (0..3_000).for_each(|key| store.change(key, false));
    store.list(&mut host);
    store.change(5, true);
    store.change(6, false);
    store.list(&mut coordinator);
    let messages = coordinator.changes_since(host.revision());
    assert_eq!(messages.changes.iter().map(|changes| changes.items.len()).sum::<usize>(), 1);
    assert_eq!(messages.end.keys.as_ref().map(Vec::len), Some(2_999));
    sync(&mut host, &coordinator, usize::MAX);
    assert_eq!(host.items, store.items);
}

#[test]
fn many_changes_are_split_into_several_messages() {
    let (mut store, mut host, mut coordinator) =
        (TestStore::default(), StoreMirror::default(), StoreMirror::default());
    store.change(0, false);
    store.list(&mut host);
    store.list(&mut coordinator);
    (1..2_500).for_each(|key| store.change(key, false));
    store.watch(&mut coordinator);
    let messages = coordinator.changes_since(host.revision());
    assert_eq!(messages.changes.len(), 3);
    assert!(messages.changes.is_sorted_by_key(|changes| changes.revision));
}

#[test]
fn evicted_deletions_are_covered_by_the_set_of_keys() {
    let (mut store, mut host, mut coordinator) =
        (TestStore::default(), StoreMirror::default(), StoreMirror::default());
    (0..MAX_DELETIONS + 10).for_each(|key| store.change(key, false));
    store.list(&mut host);
    store.list(&mut coordinator);
    (0..MAX_DELETIONS + 5).for_each(|key| store.change(key, true));
    store.watch(&mut coordinator);
    assert!(coordinator.deletions.len() <= MAX_DELETIONS);
    sync(&mut host, &coordinator, usize::MAX);
    assert_eq!(host.items, store.items);
}

#[test]
fn a_sync_into_a_new_era_sends_only_what_differs() {
    let (mut store, mut host, mut coordinator) =
        (TestStore::default(), StoreMirror::default(), StoreMirror::default());
    (0..3_000).for_each(|key| store.change(key, false));
    store.take_copy();
    store.change(7, false);
    store.change(8, true);
    store.list(&mut host);
    store.list(&mut coordinator);
    store.roll_back();
    store.list(&mut coordinator);
    let messages = coordinator.changes_since(host.revision());
    assert_eq!(messages.changes.iter().map(|changes| changes.items.len()).sum::<usize>(), 2);
    sync(&mut host, &coordinator, usize::MAX);
    assert_eq!(values(&host.items), values(&store.items));
}

#[test]
fn a_host_that_knows_lost_changes_is_sent_everything() {
    let (mut store, mut host, mut coordinator) =
        (TestStore::default(), StoreMirror::default(), StoreMirror::default());
    (0..10).for_each(|key| store.change(key, false));
    store.take_copy();
    store.list(&mut coordinator);
    store.change(7, false);
    store.list(&mut host);
    store.roll_back();
    forward(&mut host, &mut coordinator, &store);
    assert_ne!(values(&host.items), values(&store.items), "it continues from another base");
    sync(&mut host, &coordinator, usize::MAX);
    assert_eq!(values(&host.items), values(&store.items));
}

#[derive(Clone, Debug)]
enum Step {
    Change(usize, bool),
    CoordinatorWatches,
    CoordinatorLists,
    HostWatches,
    HostSyncs,
    HostSyncsPartly(usize),
    CoordinatorForwards,
    CoordinatorRestarts,
    StoreIsCopied,
    StoreRollsBack,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0_usize..6, any::<bool>()).prop_map(|(key, deleted)| Step::Change(key, deleted)),
        3 => Just(Step::CoordinatorWatches),
        1 => Just(Step::CoordinatorLists),
        1 => Just(Step::HostWatches),
        3 => Just(Step::HostSyncs),
        1 => (0_usize..2).prop_map(Step::HostSyncsPartly),
        2 => Just(Step::CoordinatorForwards),
        1 => Just(Step::CoordinatorRestarts),
        2 => Just(Step::StoreIsCopied),
        1 => Just(Step::StoreRollsBack),
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
    fn a_synced_host_equals_its_coordinator(steps in prop::collection::vec(step(), 1..60)) {
        let (mut store, mut host, mut coordinator) =
            (TestStore::default(), StoreMirror::default(), StoreMirror::default());
        store.change(0, false);
        store.list(&mut host);
        store.list(&mut coordinator);
        for step in steps {
            match step {
                Step::Change(key, deleted) => store.change(key, deleted),
                Step::CoordinatorWatches => store.watch(&mut coordinator),
                Step::CoordinatorLists => store.list(&mut coordinator),
                Step::HostWatches => store.watch(&mut host),
                Step::HostSyncs => {
                    if coordinator.revision() >= host.revision() {
                        sync(&mut host, &coordinator, usize::MAX);
                        prop_assert_eq!(values(&host.items), values(&coordinator.items));
                        prop_assert_eq!(host.revision(), coordinator.revision());
                    }
                }
                Step::HostSyncsPartly(messages) => {
                    sync(&mut host, &coordinator, messages);
                }
                Step::CoordinatorForwards => forward(&mut host, &mut coordinator, &store),
                Step::CoordinatorRestarts => {
                    coordinator = StoreMirror::default();
                    store.list(&mut coordinator);
                }
                Step::StoreIsCopied => store.take_copy(),
                Step::StoreRollsBack => store.roll_back(),
            }
        }
        store.watch(&mut host);
        prop_assert_eq!(values(&host.items), values(&store.items));
    }
}

//! Crowds of callers that hold memory: who gives way, and what the sum stays under.

use std::collections::BTreeMap;

use comfreyway_core::{
    fleet::{CallerId, CallerMemory, CallerMemoryError, CallerMemoryLimits, WorkspaceKey},
    time::MonoTime,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

const MIB: usize = 1 << 20;
const KIB: usize = 1 << 10;
const LARGEST_BODY: usize = 4 * MIB;

/// Memory and descriptors of the smallest machine.
const MEMORY: usize = 160 * MIB;
const DESCRIPTORS: usize = 4_100;

const DESK: WorkspaceKey = WorkspaceKey(1);
const LAB: WorkspaceKey = WorkspaceKey(2);

struct Crowd {
    memory: CallerMemory,
    evicted: Vec<CallerId>,
    /// Evicted callers whose tasks have released what they held.
    released: usize,
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

impl Crowd {
    fn new() -> Self {
        let limits = CallerMemoryLimits::of_process(MEMORY, DESCRIPTORS);
        Self { memory: CallerMemory::new(limits), evicted: Vec::new(), released: 0 }
    }

    fn connect(&mut self, now: MonoTime) -> CallerId {
        for caller in &self.evicted[self.released..] {
            self.memory.remove(*caller);
        }
        self.released = self.evicted.len();
        self.memory.connect(now, &mut self.evicted).unwrap()
    }

    /// Connects a caller whose body has grown to this size.
    fn send(
        &mut self,
        workspace: WorkspaceKey,
        bytes: usize,
        now: MonoTime,
    ) -> Result<CallerId, CallerMemoryError> {
        let caller = self.connect(now);
        self.memory.begin_body(caller, workspace, now);
        self.memory.hold_body(caller, bytes, now, &mut self.evicted).map(|()| caller)
    }

    /// Connects callers with bodies of the largest size until one is refused.
    fn fill(&mut self, workspace: WorkspaceKey, now: MonoTime) -> Vec<CallerId> {
        std::iter::from_fn(|| self.send(workspace, LARGEST_BODY, now).ok()).collect()
    }
}

#[test]
fn several_bodies_of_the_largest_size_are_held_at_once_on_the_smallest_machine() {
    assert_eq!(Crowd::new().fill(DESK, at(0)).len(), 11);
}

#[test]
fn callers_that_stop_short_of_the_end_give_way_to_the_next_large_body() {
    let mut crowd = Crowd::new();
    let stalled = crowd.fill(DESK, at(0));
    assert_eq!(crowd.send(DESK, LARGEST_BODY, at(900)), Err(CallerMemoryError::Exhausted));
    let next = crowd.send(DESK, LARGEST_BODY, at(1_000));
    assert_eq!((next.is_ok(), crowd.evicted), (true, vec![stalled[0]]));
}

#[test]
fn the_caller_with_the_longest_time_without_progress_gives_way_first() {
    let mut crowd = Crowd::new();
    let callers = crowd.fill(DESK, at(0));
    for (ms, caller) in callers.iter().enumerate().skip(1) {
        crowd.memory.body_advanced(*caller, at(2_000 - ms as u64));
    }
    crowd.memory.body_advanced(callers[0], at(2_001));
    crowd.send(DESK, LARGEST_BODY, at(3_000)).unwrap();
    assert_eq!(crowd.evicted.last(), callers.last());
}

#[test]
fn small_bodies_get_through_a_crowd_that_still_sends() {
    let mut crowd = Crowd::new();
    crowd.fill(DESK, at(0));
    crowd.fill(LAB, at(0));
    for _ in 0..800 {
        let caller = crowd.send(DESK, 8 * KIB, at(1)).unwrap();
        crowd.memory.end_body(caller).unwrap();
    }
}

#[test]
fn small_bodies_that_stop_short_of_the_end_give_way_to_each_other() {
    let mut crowd = Crowd::new();
    for ms in 0..3_000 {
        crowd.send(DESK, 64 * KIB, at(2 * ms)).unwrap();
    }
}

#[test]
fn a_crowd_of_one_workspace_leaves_room_for_large_bodies_of_another() {
    let mut crowd = Crowd::new();
    crowd.fill(DESK, at(0));
    assert!(crowd.send(LAB, LARGEST_BODY, at(0)).is_ok());
    assert!(crowd.evicted.is_empty());
}

#[test]
fn requests_that_were_read_completely_never_give_way() {
    let mut crowd = Crowd::new();
    for caller in crowd.fill(DESK, at(0)) {
        crowd.memory.end_body(caller).unwrap();
    }
    assert_eq!(crowd.send(DESK, LARGEST_BODY, at(60_000)), Err(CallerMemoryError::Exhausted));
    assert!(crowd.evicted.is_empty());
}

#[test]
fn a_caller_that_gave_way_holds_nothing_more_and_is_not_dispatched() {
    let mut crowd = Crowd::new();
    crowd.fill(DESK, at(0));
    crowd.send(DESK, LARGEST_BODY, at(1_000)).unwrap();
    let evicted = crowd.evicted[0];
    let more = crowd.memory.hold_body(evicted, 1, at(1_000), &mut Vec::new());
    assert_eq!(more, Err(CallerMemoryError::Evicted));
    assert_eq!(crowd.memory.end_body(evicted), Err(CallerMemoryError::Evicted));
}

#[test]
fn the_connection_that_waits_longest_gives_way_to_a_new_one() {
    let limits = CallerMemoryLimits::of_process(MEMORY, DESCRIPTORS);
    let mut crowd = Crowd::new();
    let callers: Vec<_> =
        (0..limits.max_connections).map(|ms| crowd.connect(at(ms as u64))).collect();
    crowd.memory.begin_body(callers[0], DESK, at(5_000));
    crowd.memory.end_body(callers[0]).unwrap();
    crowd.connect(at(5_000));
    assert_eq!(crowd.evicted, [callers[1]]);
}

#[test]
fn no_connection_is_added_while_all_wait_for_responses() {
    let limits = CallerMemoryLimits::of_process(MEMORY, DESCRIPTORS);
    let mut crowd = Crowd::new();
    for _ in 0..limits.max_connections {
        let caller = crowd.connect(at(0));
        crowd.memory.end_body(caller).unwrap();
    }
    let refused = crowd.memory.connect(at(60_000), &mut crowd.evicted);
    assert_eq!(refused, Err(CallerMemoryError::Exhausted));
}

#[test]
fn responses_take_the_room_of_bodies_that_are_being_read() {
    let mut crowd = Crowd::new();
    let mut responses = Vec::new();
    for _ in 0..4 {
        let caller = crowd.connect(at(0));
        crowd.memory.end_body(caller).unwrap();
        responses.push(caller);
    }
    crowd.fill(DESK, at(0));
    crowd.fill(LAB, at(0));
    let hold = |crowd: &mut Crowd, caller, bytes| {
        crowd.memory.hold_response(caller, bytes, at(1), &mut crowd.evicted)
    };
    assert_eq!(hold(&mut crowd, responses[0], 16 * MIB), Ok(()));
    assert_eq!(hold(&mut crowd, responses[1], 16 * MIB), Ok(()));
    assert!(!crowd.evicted.is_empty());
    assert_eq!(hold(&mut crowd, responses[2], 16 * MIB), Err(CallerMemoryError::Exhausted));
    assert_eq!(hold(&mut crowd, responses[0], 0), Ok(()));
    assert_eq!(hold(&mut crowd, responses[2], 16 * MIB), Ok(()));
}

#[test]
fn callers_that_stop_reading_give_way_to_the_next_large_response() {
    let mut crowd = Crowd::new();
    let callers: Vec<_> = (0..4).map(|_| crowd.connect(at(0))).collect();
    let hold = |crowd: &mut Crowd, caller, ms| {
        crowd.memory.hold_response(caller, 14 * MIB, at(ms), &mut crowd.evicted)
    };
    for caller in &callers[..2] {
        crowd.memory.end_body(*caller).unwrap();
        hold(&mut crowd, *caller, 0).unwrap();
        crowd.memory.begin_delivery(*caller, at(0));
    }
    assert_eq!(hold(&mut crowd, callers[2], 900), Err(CallerMemoryError::Exhausted));
    crowd.memory.delivery_advanced(callers[0], at(900));
    assert_eq!(hold(&mut crowd, callers[2], 1_500), Ok(()));
    assert_eq!(crowd.evicted, [callers[1]]);
    // The first one still reads.
    assert_eq!(hold(&mut crowd, callers[3], 1_500), Err(CallerMemoryError::Exhausted));
}

/// What the play itself knows that is held for a caller, with its connection's buffers.
type Held = BTreeMap<CallerId, usize>;

#[rstest]
fn callers_never_hold_more_than_the_limit_together(#[values(1, 2, 3, 4)] seed: u64) {
    let limits = CallerMemoryLimits::of_process(MEMORY, DESCRIPTORS);
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut crowd, mut held, mut now) = (Crowd::new(), Held::new(), 0);
    for _ in 0..60_000 {
        now += rng.random_range(0..5);
        let any = held.keys().nth(rng.random_range(0..held.len().max(1))).copied();
        match (rng.random_range(0..10), any) {
            (0..4, _) | (_, None) => {
                if let Ok(caller) = crowd.memory.connect(at(now), &mut crowd.evicted) {
                    held.insert(caller, limits.connection_bytes);
                    let workspace = WorkspaceKey(rng.random_range(0..3));
                    crowd.memory.begin_body(caller, workspace, at(now));
                }
            }
            (4..8, Some(caller)) => {
                let bytes = 1 << rng.random_range(10..23);
                let grown = crowd.memory.hold_body(caller, bytes, at(now), &mut crowd.evicted);
                if grown.is_ok() {
                    held.insert(caller, limits.connection_bytes + bytes);
                }
            }
            (8, Some(caller)) => {
                let _ = crowd.memory.end_body(caller);
            }
            (_, Some(caller)) => {
                crowd.memory.remove(caller);
                held.remove(&caller);
            }
        }
        // Their tasks release what they hold a little later.
        if rng.random_bool(0.3) {
            for caller in crowd.evicted.drain(..) {
                crowd.memory.remove(caller);
                held.remove(&caller);
            }
        }
        let sum: usize = held.values().sum();
        assert!(crowd.memory.used_bytes() <= limits.total_bytes);
        assert!(sum <= limits.total_bytes / 4 * 5, "{sum} bytes are held");
        assert!(crowd.memory.connections() <= limits.max_connections);
    }
    held.keys().for_each(|caller| crowd.memory.remove(*caller));
    assert_eq!((crowd.memory.used_bytes(), crowd.memory.connections()), (0, 0));
}

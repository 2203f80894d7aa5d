//! Trace records of the most recent requests.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use comfreyway_core::ids::{ClassName, RequestId};

use super::{ClassTally, TraceEntry, TraceRecord, TraceStep};

/// Maximum number of records.
const MAX_RECORDS: usize = 10_000;

/// Maximum number of steps in a record.
const MAX_STEPS: usize = 32;

/// Maximum number of classes with tallies, so that removed classes don't
/// accumulate.
const MAX_CLASSES: usize = 1_024;

/// Trace records of the most recent requests of this host, shared by all
/// threads.
#[derive(Debug, Default)]
pub struct TraceStore {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    order: VecDeque<RequestId>,
    records: HashMap<RequestId, TraceRecord>,
    tallies: BTreeMap<ClassName, ClassTally>,
}

impl TraceStore {
    /// Adds the record of a request that has just arrived.
    #[must_use]
    pub fn begin(self: &Arc<Self>, record: TraceRecord) -> Trace {
        let id = record.id;
        let mut inner = self.lock();
        inner.order.push_back(id);
        inner.records.insert(id, record);
        if inner.order.len() > MAX_RECORDS
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.records.remove(&oldest);
        }
        drop(inner);
        Trace { id, arrived: Instant::now(), store: self.clone() }
    }

    /// Returns the record of a request unless it was evicted.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<TraceRecord> {
        self.lock().records.get(&id).cloned()
    }

    /// Returns the outcomes by class since the start of the process.
    #[must_use]
    pub fn tallies(&self) -> BTreeMap<ClassName, ClassTally> {
        self.lock().tallies.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn step(&mut self, id: RequestId, entry: TraceEntry) {
        let Some(record) = self.records.get_mut(&id) else { return };
        let step = entry.step.clone();
        if record.steps.len() < MAX_STEPS {
            record.steps.push(entry);
        }
        let in_target = record.in_target();
        let class = record.class.clone();
        self.count(class, &step, in_target);
    }

    fn count(&mut self, class: ClassName, step: &TraceStep, in_target: bool) {
        if self.tallies.len() >= MAX_CLASSES && !self.tallies.contains_key(&class) {
            return;
        }
        let tally = self.tallies.entry(class).or_default();
        match step {
            TraceStep::Answered => {
                tally.answered += 1;
                tally.in_target += u64::from(in_target);
            }
            TraceStep::NotRun(_) => tally.not_run += 1,
            TraceStep::Unknown(_) => tally.unknown += 1,
            _ => {}
        }
    }
}

/// Adds steps to the trace record of one request.
#[derive(Debug)]
pub struct Trace {
    id: RequestId,
    arrived: Instant,
    store: Arc<TraceStore>,
}

impl Trace {
    /// Adds a step with the current time.
    pub fn step(&self, step: TraceStep) {
        let entry = TraceEntry { after: self.arrived.elapsed(), step };
        self.store.lock().step(self.id, entry);
    }
}

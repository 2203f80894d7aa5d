//! State of an engine, shared between its thread and the test.

use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use tokio::sync::Notify;

use crate::{Gate, RunLog, leaving::Leaving};

use super::{
    EngineSettings,
    batch::{self, Batch},
    fencing::FencingCheck,
    job::Job,
};

/// Largest number of requests that can be resumed or cancelled by their ID.
const MAX_JOBS: usize = 10_000;

#[derive(Debug, Default)]
struct Jobs {
    by_id: HashMap<String, Arc<Job>>,
    order: VecDeque<String>,
}

/// State of an engine.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(super) settings: EngineSettings,
    pub(super) instance: u64,
    pub(super) log: RunLog,
    pub(super) orders: RunLog,
    pub(super) gate: Gate,
    pub(super) arrived: Notify,
    batch: Mutex<Batch>,
    jobs: Mutex<Jobs>,
    fencing: Mutex<FencingCheck>,
    leaving: Mutex<Leaving>,
    cut_after: Mutex<Option<u32>>,
    batches_started: AtomicBool,
    resumes: AtomicU64,
    cancels: AtomicU64,
    this: std::sync::Weak<Self>,
}

impl Shared {
    pub(super) fn new(settings: EngineSettings) -> Arc<Self> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Arc::new_cyclic(|this| Self {
            instance: u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX),
            log: RunLog::default(),
            orders: RunLog::default(),
            gate: Gate::default(),
            arrived: Notify::new(),
            batch: Mutex::new(Batch::new(&settings)),
            jobs: Mutex::default(),
            fencing: Mutex::default(),
            leaving: Mutex::default(),
            cut_after: Mutex::default(),
            batches_started: AtomicBool::new(false),
            resumes: AtomicU64::new(0),
            cancels: AtomicU64::new(0),
            this: this.clone(),
            settings,
        })
    }

    /// Starts the batch loop on the server's thread, on the first call.
    pub(super) fn start_batches(&self) {
        if !self.batches_started.swap(true, Ordering::Relaxed) {
            actix_rt::spawn(batch::run(self.this.clone()));
        }
    }

    pub(super) fn add(&self, id: &str, job: Arc<Job>) {
        self.batch().push(job.clone());
        self.arrived.notify_one();
        if id.is_empty() {
            return;
        }
        let mut jobs = lock(&self.jobs);
        if jobs.by_id.insert(id.to_owned(), job).is_none() {
            jobs.order.push_back(id.to_owned());
        }
        if jobs.order.len() > MAX_JOBS
            && let Some(oldest) = jobs.order.pop_front()
        {
            jobs.by_id.remove(&oldest);
        }
    }

    pub(super) fn job(&self, id: &str) -> Option<Arc<Job>> {
        lock(&self.jobs).by_id.get(id).cloned()
    }

    pub(super) fn batch(&self) -> MutexGuard<'_, Batch> {
        lock(&self.batch)
    }

    pub(super) fn accepts_fencing(&self, number: &str) -> bool {
        !self.settings.checks_fencing || lock(&self.fencing).accepts(number)
    }

    pub(super) fn leaving(&self) -> Leaving {
        *lock(&self.leaving)
    }

    pub(super) fn set_leaving(&self, leaving: Leaving) {
        *lock(&self.leaving) = leaving;
    }

    pub(super) fn set_cut(&self, after: u32) {
        *lock(&self.cut_after) = Some(after);
    }

    pub(super) fn take_cut(&self) -> Option<u32> {
        lock(&self.cut_after).take()
    }

    pub(super) fn count_resume(&self) {
        self.resumes.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_cancel(&self) {
        self.cancels.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn resumes(&self) -> u64 {
        self.resumes.load(Ordering::Relaxed)
    }

    pub(super) fn cancels(&self) -> u64 {
        self.cancels.load(Ordering::Relaxed)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

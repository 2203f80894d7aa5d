//! Threads that make load.

use std::{cell::RefCell, rc::Rc, thread, time::Duration};

use actix_rt::{
    System, spawn,
    time::{Instant, sleep_until, timeout},
};
use awc::{Client, Connector};

use super::{LoadResult, LoadSpec, Pace, request::Outcome};

/// Connections of one thread.
const MAX_CONNECTIONS: usize = 16_384;
/// Time for a connection to be set up.
const CONNECT_LIMIT: Duration = Duration::from_secs(10);
/// Time after the end for answers that are still under way.
const GRACE: Duration = Duration::from_secs(10);

/// Makes the load and waits for its end.
#[must_use]
pub fn run(spec: &LoadSpec) -> LoadResult {
    let threads: Vec<_> = (0..spec.threads)
        .map(|number| {
            let spec = spec.clone();
            thread::spawn(move || System::new().block_on(Worker::new(spec, number).run()))
        })
        .collect();
    let mut sum = LoadResult::new(spec.duration);
    for thread in threads {
        if let Ok(result) = thread.join() {
            sum.add(&result);
        }
    }
    sum
}

/// One thread's share of the load.
struct Worker {
    spec: LoadSpec,
    number: usize,
    client: Client,
    start: Instant,
    result: RefCell<LoadResult>,
}

impl Worker {
    fn new(spec: LoadSpec, number: usize) -> Rc<Self> {
        let connector = Connector::new().limit(MAX_CONNECTIONS).timeout(CONNECT_LIMIT);
        let client = Client::builder().connector(connector).disable_timeout().finish();
        let result = RefCell::new(LoadResult::new(spec.duration));
        Rc::new(Self { spec, number, client, start: Instant::now(), result })
    }

    async fn run(self: Rc<Self>) -> LoadResult {
        match self.spec.pace {
            Pace::Closed { callers } => self.clone().closed(callers).await,
            Pace::Open { per_second } => self.clone().open(per_second).await,
        }
        self.result.borrow().clone()
    }

    fn counted_from(&self) -> Instant {
        self.start + self.spec.warm_up
    }

    fn end(&self) -> Instant {
        self.counted_from() + self.spec.duration
    }

    async fn closed(self: Rc<Self>, callers: usize) {
        let share = (0..callers).filter(|i| i % self.spec.threads == self.number);
        let tasks: Vec<_> = share
            .map(|caller| {
                let worker = self.clone();
                spawn(async move {
                    while Instant::now() < worker.end() {
                        worker.request(caller, Instant::now()).await;
                    }
                })
            })
            .collect();
        self.join(tasks).await;
    }

    async fn open(self: Rc<Self>, per_second: f64) {
        let interval = Duration::from_secs_f64(self.spec.threads as f64 / per_second);
        let mut planned =
            self.start + interval.mul_f64(self.number as f64 / self.spec.threads as f64);
        let mut tasks = Vec::new();
        let mut number = self.number;
        while planned < self.end() {
            sleep_until(planned).await;
            let worker = self.clone();
            tasks.push(spawn(async move { worker.request(number, planned).await }));
            number += self.spec.threads;
            planned += interval;
        }
        self.join(tasks).await;
    }

    async fn join(&self, tasks: Vec<actix_rt::task::JoinHandle<()>>) {
        let deadline = self.end() + GRACE;
        for task in tasks {
            let left = deadline.saturating_duration_since(Instant::now());
            // What is not answered by then is not counted.
            let _ = timeout(left, task).await;
        }
    }

    async fn request(&self, number: usize, planned: Instant) {
        let outcome = self.spec.request.send(&self.client, number, planned).await;
        if self.counts(planned) {
            self.count(outcome);
        }
    }

    /// A closed load counts what ends within the time, an open one what was
    /// planned within it.
    fn counts(&self, planned: Instant) -> bool {
        let moment = match self.spec.pace {
            Pace::Closed { .. } => Instant::now(),
            Pace::Open { .. } => planned,
        };
        moment >= self.counted_from() && moment < self.end()
    }

    fn count(&self, outcome: Outcome) {
        let mut result = self.result.borrow_mut();
        result.events += outcome.events;
        if outcome.whole {
            result.answered += 1;
            result.record(outcome.first_byte, outcome.total);
        } else {
            result.failed += 1;
        }
    }
}

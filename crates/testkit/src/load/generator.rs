//! Threads that send the requests of a load.

use std::{cell::RefCell, rc::Rc, thread, time::Duration};

use actix_rt::{
    System, spawn,
    time::{Instant, sleep_until, timeout},
};
use awc::{Client, Connector};

use super::{LoadResult, LoadSpec, Pace, request::Outcome};

/// Connection limit of one thread.
const MAX_CONNECTIONS: usize = 16_384;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the end to wait for requests in progress.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(10);

/// Generates a load and returns its results after it has ended.
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

/// One thread that sends a share of the requests.
struct Worker {
    spec: LoadSpec,
    number: usize,
    client: Client,
    start: Instant,
    result: RefCell<LoadResult>,
}

impl Worker {
    fn new(spec: LoadSpec, number: usize) -> Rc<Self> {
        let connector = Connector::new().limit(MAX_CONNECTIONS).timeout(CONNECT_TIMEOUT);
        let client = Client::builder().connector(connector).disable_timeout().finish();
        let result = RefCell::new(LoadResult::new(spec.duration));
        Rc::new(Self { spec, number, client, start: Instant::now(), result })
    }

    async fn run(self: Rc<Self>) -> LoadResult {
        match self.spec.pace {
            Pace::Closed { callers } => self.clone().run_closed(callers).await,
            Pace::Open { per_second } => self.clone().run_open(per_second).await,
        }
        self.result.borrow().clone()
    }

    fn counted_from(&self) -> Instant {
        self.start + self.spec.warm_up
    }

    fn end(&self) -> Instant {
        self.counted_from() + self.spec.duration
    }

    async fn run_closed(self: Rc<Self>, callers: usize) {
        let share = (0..callers).filter(|i| i % self.spec.threads == self.number);
        let tasks: Vec<_> = share
            .map(|caller| {
                let worker = self.clone();
                spawn(async move {
                    while Instant::now() < worker.end() {
                        worker.send(caller, Instant::now()).await;
                    }
                })
            })
            .collect();
        self.join_all(tasks).await;
    }

    async fn run_open(self: Rc<Self>, per_second: f64) {
        let interval = Duration::from_secs_f64(self.spec.threads as f64 / per_second);
        let mut planned =
            self.start + interval.mul_f64(self.number as f64 / self.spec.threads as f64);
        let mut tasks = Vec::new();
        let mut number = self.number;
        while planned < self.end() {
            sleep_until(planned).await;
            let worker = self.clone();
            tasks.push(spawn(async move { worker.send(number, planned).await }));
            number += self.spec.threads;
            planned += interval;
        }
        self.join_all(tasks).await;
    }

    async fn join_all(&self, tasks: Vec<actix_rt::task::JoinHandle<()>>) {
        let deadline = self.end() + COMPLETION_TIMEOUT;
        for task in tasks {
            let left = deadline.saturating_duration_since(Instant::now());
            // A request that has not ended by then is not counted.
            let _ = timeout(left, task).await;
        }
    }

    async fn send(&self, number: usize, planned: Instant) {
        let outcome = self.spec.request.send(&self.client, number, planned).await;
        if self.is_counted(planned) {
            self.record(outcome);
        }
    }

    /// Returns whether a request that ended just now counts: by its end in a
    /// closed loop, by its planned start in an open loop.
    fn is_counted(&self, planned: Instant) -> bool {
        let at = match self.spec.pace {
            Pace::Closed { .. } => Instant::now(),
            Pace::Open { .. } => planned,
        };
        at >= self.counted_from() && at < self.end()
    }

    fn record(&self, outcome: Outcome) {
        let mut result = self.result.borrow_mut();
        result.events += outcome.events;
        if outcome.complete {
            result.answered += 1;
            result.record(outcome.first_byte, outcome.total);
        } else {
            result.failed += 1;
        }
    }
}

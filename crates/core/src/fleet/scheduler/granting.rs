//! Grants of slots to waiting requests.

use std::time::Duration;

use crate::{
    ids::{RequestId, RunnerName},
    request::{RequestRecord, Target},
    time::MonoTime,
};

use super::{
    Decision, UpstreamScheduler,
    placement::{Pauses, Placement},
    queue::{Deadlines, WaitingRequest},
    state::Granted,
};

/// Maximum number of waiting requests tried for one grant.
const MAX_TRIED_REQUESTS: usize = 48;

/// Maximum number of waiting requests of a class tried for its floor.
const MAX_TRIED_FOR_FLOOR: usize = 8;

impl UpstreamScheduler {
    /// Grants waiting requests as long as one finds a runner.
    pub(super) fn grant(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        while let Some((id, runner)) = self.next_grant(now) {
            let Some(waiting) = self.queue.remove(id) else { return };
            out.push(Decision::Grant(waiting.record.entry.clone(), id, runner.clone()));
            self.floors.started(now, &waiting.record.class);
            self.runners.update(&runner, |runner| runner.take_from_rate_limit(now));
            let Deadlines { target_at, respond_by, .. } = waiting.deadlines;
            let WaitingRequest { record, version, .. } = waiting;
            let served_by = self.runner_version(&runner);
            self.count_grant(&record.class, served_by.as_ref());
            self.start(now, Granted { record, runner, version, served_by, target_at, respond_by });
        }
    }

    fn next_grant(&mut self, now: MonoTime) -> Option<(RequestId, RunnerName)> {
        self.runners.free(now, |_| true).next()?;
        let alike = now >= self.hosts_differ_until && !self.gate_tells_classes_apart();
        let mut pass = Pass { requests_alike: alike, ..Pass::default() };
        let found = self.find_for_floors(now, &mut pass).or_else(|| {
            let first = self.queue.first(MAX_TRIED_REQUESTS);
            self.find_placeable(now, first, Pauses::Short, &mut pass)
        });
        let marked = !pass.late.is_empty();
        for id in pass.late {
            self.queue.mark_late(id);
        }
        // Requests that were marked late have moved in the queue.
        if found.is_none() && marked { self.next_grant(now) } else { found }
    }

    /// Finds a request of a class that is below its floor, and a runner for it.
    fn find_for_floors(&self, now: MonoTime, pass: &mut Pass) -> Option<(RequestId, RunnerName)> {
        let classes = self.queue.classes().filter(|class| self.is_below_floor(now, class));
        classes.into_iter().find_map(|class| {
            let first = self.queue.first_of_class(class, MAX_TRIED_FOR_FLOOR);
            self.find_placeable(now, first, Pauses::Any, pass)
        })
    }

    /// Finds the first of these requests that a runner can take, and the runner.
    fn find_placeable<'a, I>(
        &self,
        now: MonoTime,
        requests: I,
        pauses: Pauses,
        pass: &mut Pass,
    ) -> Option<(RequestId, RunnerName)>
    where
        I: Iterator<Item = (RequestId, &'a WaitingRequest)>,
    {
        for (id, waiting) in requests {
            if waiting.record.prefix.is_empty() && pass.unplaceable.includes(&waiting.record) {
                continue;
            }
            match self.find_runner(now, waiting, pauses) {
                Placement::None
                    if waiting.avoid.is_none()
                        && waiting.version.is_none()
                        && waiting.record.prefix.is_empty()
                        && pass.requests_alike =>
                {
                    pass.unplaceable.add(&waiting.record);
                }
                Placement::InTime(runner) => return Some((id, runner)),
                Placement::Late(runner) if waiting.late => return Some((id, runner)),
                Placement::Late(_) => pass.late.push(id),
                Placement::Wait | Placement::None => {}
            }
        }
        None
    }
}

/// One pass through the queue.
#[derive(Debug, Default)]
struct Pass {
    /// True if every runner accepts the requests of all hosts and classes alike.
    requests_alike: bool,
    /// Requests that can no longer meet their target.
    late: Vec<RequestId>,
    unplaceable: UnplaceableRequests,
}

/// Requests that found no runner in one pass through the queue. A request with
/// at least as long a prompt and at most as long an allowed pause finds none
/// either, so most of many similar requests need not be compared with runners.
#[derive(Debug, Default)]
struct UnplaceableRequests {
    /// Prompt tokens and longest allowed pause between tokens.
    found_none: Vec<(u32, Duration)>,
}

impl UnplaceableRequests {
    fn add(&mut self, record: &RequestRecord) {
        self.found_none.push(Self::needs(record));
    }

    fn includes(&self, record: &RequestRecord) -> bool {
        let (prompt, pause) = Self::needs(record);
        self.found_none
            .iter()
            .any(|(min_prompt, max_pause)| prompt >= *min_prompt && pause <= *max_pause)
    }

    fn needs(record: &RequestRecord) -> (u32, Duration) {
        let pause = match record.target {
            Target::Stream { between_tokens, .. } => between_tokens,
            Target::Whole(_) => Duration::MAX,
        };
        (record.prefill_tokens, pause)
    }
}

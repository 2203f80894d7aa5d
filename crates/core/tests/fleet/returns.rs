//! Callers that were refused and come back.

use std::{collections::BTreeMap, time::Duration};

use comfreyway_core::{
    fleet::{Decision, UpstreamScheduler},
    request::{DispatchEnd, Usage},
};
use rstest::rstest;

use crate::support::{at, id, name, record};

const SLOTS: u32 = 4;
const RUNNERS: usize = 10;
const SERVICE: Duration = Duration::from_millis(500);
const TIME_LIMIT: Duration = Duration::from_secs(12);

fn scheduler() -> UpstreamScheduler {
    let mut scheduler = UpstreamScheduler::new(true);
    for runner in 0..RUNNERS {
        scheduler.set_runner(name(&format!("r{runner}")), SLOTS, false);
    }
    scheduler
}

/// What a caller does with the time after which it may try again.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Caller {
    Obeys,
    ComesEarly,
    Leaves,
}

/// Plays three seconds of twice the load that the runners can carry. Returns how
/// many callers were refused, how many of these came back, and how many of these were
/// refused again.
fn play_burst(caller: Caller) -> (usize, usize, usize) {
    let mut scheduler = scheduler();
    let per_ms = 2.0 * f64::from(SLOTS) * RUNNERS as f64 / SERVICE.as_millis() as f64;
    let mut due = 0.0;
    let mut next = 0_u128;
    let mut ends: BTreeMap<u64, Vec<u128>> = BTreeMap::new();
    let mut returns: BTreeMap<u64, Vec<u128>> = BTreeMap::new();
    let mut first_attempts = BTreeMap::new();
    let (mut refused, mut returned, mut refused_again) = (0, 0, 0);
    for ms in 0..12_000 {
        let mut out = Vec::new();
        for number in ends.remove(&ms).into_iter().flatten() {
            let usage = Usage { decode_tokens: 50, total: SERVICE, ..Usage::default() };
            scheduler.ended(at(ms), id(number), DispatchEnd::Complete(usage));
        }
        due += if ms < 3_000 { per_ms } else { 0.0 };
        let arrivals = std::iter::repeat_n(true, due as usize);
        due -= due.floor();
        let back = returns.remove(&ms).into_iter().flatten().map(|_| false);
        for is_first in arrivals.chain(back) {
            next += 1;
            first_attempts.insert(next, is_first);
            returned += usize::from(!is_first);
            scheduler.submit(at(ms), record(next, 1, 500), TIME_LIMIT, None, &mut out);
        }
        scheduler.tick(at(ms), &mut out);
        for decision in out {
            match decision {
                Decision::Grant(_, granted, _) => {
                    scheduler.first_token(at(ms) + Duration::from_millis(32), granted);
                    let end = ms + SERVICE.as_millis() as u64;
                    ends.entry(end).or_default().push(granted.value());
                }
                Decision::Refuse(_, number, _, retry_after) => {
                    if !first_attempts[&number.value()] {
                        refused_again += 1;
                        continue;
                    }
                    refused += 1;
                    let wait = retry_after.as_millis() as u64;
                    let back = match caller {
                        Caller::Obeys => ms + wait,
                        Caller::ComesEarly => ms + wait / 4,
                        Caller::Leaves => continue,
                    };
                    returns.entry(back.max(ms + 1)).or_default().push(number.value());
                }
            }
        }
    }
    assert_eq!(scheduler.waiting(), 0);
    (refused, returned, refused_again)
}

#[test]
fn callers_refused_together_are_told_successive_times() {
    let mut scheduler = scheduler();
    let mut times = Vec::new();
    for number in 0..240 {
        let mut out = Vec::new();
        scheduler.submit(at(0), record(number, 1, 500), TIME_LIMIT, None, &mut out);
        times.extend(out.into_iter().filter_map(|decision| match decision {
            Decision::Refuse(_, _, _, retry_after) => Some(retry_after),
            Decision::Grant(..) => None,
        }));
    }
    assert!(times.len() > 50, "{}", times.len());
    assert!(times.is_sorted());
    let spread = times[times.len() - 1] - times[0];
    // The runners work off the requests of those before the last one meanwhile.
    let work = Duration::from_millis(650) * (times.len() as u32 - 1) / (SLOTS * RUNNERS as u32);
    assert!(spread >= work.mul_f64(0.9), "{spread:?} of {work:?}");
    assert!(times.iter().all(|time| *time <= TIME_LIMIT.mul_f64(0.34)), "callers wait no longer");
}

#[rstest]
#[case::obey(Caller::Obeys)]
#[case::come_early(Caller::ComesEarly)]
#[case::leave(Caller::Leaves)]
fn callers_of_a_burst_come_back(#[case] caller: Caller) {
    let (refused, returned, again) = play_burst(caller);
    println!("{caller:?}: {refused} refused, {returned} returned, {again} refused again");
    assert!(refused > 100);
    if caller == Caller::Obeys {
        assert!(again * 10 <= returned, "{again} of {returned}");
    }
}

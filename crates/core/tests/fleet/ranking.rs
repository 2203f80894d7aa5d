//! Order, placement and refusal of the requests of one upstream.

use std::time::Duration;

use comfreyway_core::{
    fleet::{Decision, DispatchFailure, UpstreamScheduler},
    outcome::NotRunReason,
    request::{DispatchEnd, Target, Usage},
    time::MonoTime,
};

use crate::support::{at, host, id, name, record};

const LEFT: Duration = Duration::from_secs(12);

fn engine(runners: &[(&str, u32)]) -> UpstreamScheduler {
    let mut ranking = UpstreamScheduler::new(true);
    for (runner, places) in runners {
        ranking.set_runner(name(runner), *places, false);
    }
    ranking
}

/// Teaches the rates of a runner by answers that it gave.
fn teach(ranking: &mut UpstreamScheduler, runner: &str, prefill_us: u64, decode_us: u64) {
    for number in 0..8 {
        let number = 1_000_000 + number;
        let start = at(0);
        ranking.adopt(start, record(number, 0, 1_000), name(runner));
        let first = Duration::from_micros(22_000 + prefill_us * 1_000);
        ranking.first_token(start + first, id(number));
        let total = first + Duration::from_micros(decode_us * 100);
        let usage = Usage { decode_tokens: 101, first_token: first, total, ..Usage::default() };
        ranking.ended(start + total, id(number), DispatchEnd::Complete(usage));
    }
}

fn submit(
    ranking: &mut UpstreamScheduler,
    now: MonoTime,
    number: u128,
    tier: u8,
    prompt: u32,
) -> Vec<Decision> {
    let mut out = Vec::new();
    ranking.submit(now, record(number, tier, prompt), LEFT, None, &mut out);
    out
}

fn granted(decisions: &[Decision]) -> Vec<(u128, String)> {
    let grants = decisions.iter().filter_map(|decision| match decision {
        Decision::Grant(_, id, runner) => Some((id.value(), runner.to_string())),
        Decision::Refuse(..) => None,
    });
    grants.collect()
}

/// The line of the log stays short before thousands of runners.
#[test]
fn a_line_tells_of_all_runners_if_they_are_few() {
    let mut few = engine(&[("a", 2), ("b", 2)]);
    submit(&mut few, at(0), 1, 1, 500);
    assert!(few.to_string().contains(" a 1/2 ") && few.to_string().contains(" b 0/2 "));
    let mut many = UpstreamScheduler::new(true);
    for number in 0..2_000 {
        many.set_runner(name(&format!("r{number}")), 2, number == 1_500);
    }
    let line = many.to_string();
    assert!(line.contains(" 2000 runners") && line.contains(" r1500 ") && line.len() < 200);
}

#[test]
fn a_runner_gets_no_more_than_its_places() {
    let mut ranking = engine(&[("a", 2)]);
    let all: Vec<_> =
        (0..5).flat_map(|number| granted(&submit(&mut ranking, at(0), number, 1, 500))).collect();
    assert_eq!(all.len(), 2);
    assert_eq!(ranking.waiting(), 3);
}

/// A burst of a low tier fills the queue; a top request that comes after it
/// gets the next place.
#[test]
fn the_top_tier_goes_before_a_backlog_of_lower_ones() {
    let mut ranking = engine(&[("a", 1)]);
    for number in 0..4 {
        submit(&mut ranking, at(0), number, 2, 500);
    }
    assert!(granted(&submit(&mut ranking, at(10), 9, 0, 500)).is_empty());
    let mut out = Vec::new();
    ranking.ended(at(20), id(0), DispatchEnd::Cancelled);
    ranking.tick(at(20), &mut out);
    assert_eq!(granted(&out), [(9, "a".to_owned())]);
}

#[test]
fn what_is_late_goes_behind_what_can_still_be_in_time() {
    let mut ranking = engine(&[("a", 1)]);
    submit(&mut ranking, at(0), 1, 1, 500);
    submit(&mut ranking, at(0), 2, 1, 500);
    submit(&mut ranking, at(900), 3, 1, 500);
    let mut out = Vec::new();
    ranking.ended(at(1_000), id(1), DispatchEnd::Cancelled);
    ranking.tick(at(1_000), &mut out);
    assert_eq!(granted(&out)[0].0, 3, "request 2 missed its target at 800 ms");
    out.clear();
    ranking.ended(at(1_100), id(3), DispatchEnd::Cancelled);
    ranking.tick(at(1_100), &mut out);
    assert_eq!(granted(&out)[0].0, 2, "a late answer is still an answer");
}

/// A request that was found late before stays behind one that came after it and
/// can still be in time.
#[test]
fn what_was_found_late_stays_behind_what_can_still_be_in_time() {
    let mut ranking = engine(&[("a", 1)]);
    submit(&mut ranking, at(0), 1, 1, 500);
    submit(&mut ranking, at(0), 2, 1, 500);
    submit(&mut ranking, at(900), 3, 1, 500);
    let mut out = Vec::new();
    ranking.ended(at(1_000), id(1), DispatchEnd::Cancelled);
    ranking.tick(at(1_000), &mut out);
    submit(&mut ranking, at(1_050), 4, 1, 500);
    out.clear();
    ranking.ended(at(1_100), id(3), DispatchEnd::Cancelled);
    ranking.tick(at(1_100), &mut out);
    assert_eq!(granted(&out)[0].0, 4, "request 2 was late at 1,000 ms already");
}

/// A third of the engines is several times slower: a long prompt waits for a
/// fast one that is free in time, a short one behind it does not wait.
#[test]
fn a_long_prompt_waits_for_a_fast_runner_and_blocks_nobody() {
    let mut ranking = engine(&[("fast", 1), ("slow", 4)]);
    teach(&mut ranking, "fast", 15, 4_000);
    teach(&mut ranking, "slow", 100, 17_000);
    assert_eq!(granted(&submit(&mut ranking, at(5_000), 1, 1, 500)), [(1, "fast".to_owned())]);
    assert!(granted(&submit(&mut ranking, at(5_001), 2, 1, 20_000)).is_empty());
    assert_eq!(granted(&submit(&mut ranking, at(5_002), 3, 1, 500)), [(3, "slow".to_owned())]);
    let mut out = Vec::new();
    ranking.ended(at(5_100), id(1), DispatchEnd::Cancelled);
    ranking.tick(at(5_100), &mut out);
    assert_eq!(granted(&out), [(2, "fast".to_owned())]);
}

/// On a slow engine a long prompt stops the streams of others for longer than
/// they may pause.
#[test]
fn a_prompt_that_would_stop_other_streams_goes_elsewhere() {
    let mut ranking = engine(&[("slow", 4)]);
    teach(&mut ranking, "slow", 100, 17_000);
    assert_eq!(granted(&submit(&mut ranking, at(5_000), 1, 1, 500)).len(), 1);
    assert!(granted(&submit(&mut ranking, at(5_001), 2, 1, 4_000)).is_empty());
    assert_eq!(granted(&submit(&mut ranking, at(5_002), 3, 1, 300)).len(), 1);
}

/// Before hundreds of engines with streams, an engine that works on nothing takes
/// the prompt, wherever it stands in the order.
#[test]
fn an_idle_runner_is_found_behind_many_that_work() {
    let names: Vec<_> = (0..200).map(|number| format!("r{number:03}")).collect();
    let runners: Vec<_> = names.iter().map(|name| (name.as_str(), 4)).collect();
    let mut ranking = engine(&runners);
    for (number, name) in names.iter().enumerate() {
        let idle = number == 120;
        // The idle one is a little slower, so that it stands behind the others.
        teach(&mut ranking, name, if idle { 110 } else { 100 }, 17_000);
        if !idle {
            let busy = number as u128;
            ranking.adopt(at(4_000), record(busy, 1, 500), crate::support::name(name));
            ranking.first_token(at(4_072), id(busy));
        }
    }
    let granted = granted(&submit(&mut ranking, at(5_000), 5_000, 1, 4_000));
    assert_eq!(granted, [(5_000, "r120".to_owned())]);
}

/// While long prompts find no engine, what is shorter or stands its streams
/// better is still looked at.
#[test]
fn prompts_that_find_no_runner_hold_up_only_what_finds_none_either() {
    let mut ranking = engine(&[("slow", 4)]);
    teach(&mut ranking, "slow", 100, 17_000);
    assert_eq!(granted(&submit(&mut ranking, at(5_000), 1, 1, 500)).len(), 1);
    for number in 2..4 {
        assert!(granted(&submit(&mut ranking, at(5_001), number, 1, 4_000)).is_empty());
    }
    let mut patient = record(30, 1, 4_000);
    patient.target = Target::Stream {
        first_token: Duration::from_millis(800),
        between_tokens: Duration::from_secs(2),
    };
    let mut out = Vec::new();
    ranking.submit(at(5_002), patient, LEFT, None, &mut out);
    assert_eq!(granted(&out), [(30, "slow".to_owned())]);
    ranking.first_token(at(5_072), id(1));
    ranking.first_token(at(5_474), id(30));
    assert_eq!(granted(&submit(&mut ranking, at(5_800), 31, 2, 300)).len(), 1);
}

#[test]
fn a_backlog_that_can_not_be_served_is_refused_at_once_with_the_time_to_come_back() {
    let mut ranking = engine(&[("a", 1)]);
    let mut refused = Vec::new();
    for number in 0..40 {
        let decisions = submit(&mut ranking, at(0), number, 1, 2_000);
        refused.extend(decisions.into_iter().filter_map(|decision| match decision {
            Decision::Refuse(_, _, reason, after) => Some((reason, after)),
            Decision::Grant(..) => None,
        }));
    }
    assert!(!refused.is_empty());
    for (reason, after) in refused {
        assert_eq!(reason, NotRunReason::Shed);
        assert!(after <= LEFT / 3, "callers wait no longer than a third: {after:?}");
    }
}

#[test]
fn a_request_that_waits_too_long_is_refused_while_it_can_come_again() {
    let mut ranking = engine(&[("a", 1)]);
    submit(&mut ranking, at(0), 1, 1, 500);
    submit(&mut ranking, at(0), 2, 1, 500);
    let mut out = Vec::new();
    // Its caller leaves after four times the target, which is 3.2 s.
    ranking.tick(at(1_500), &mut out);
    assert!(out.is_empty());
    ranking.tick(at(1_700), &mut out);
    assert!(matches!(out[..], [Decision::Refuse(_, refused, ..)] if refused == id(2)), "{out:?}");
}

#[test]
fn a_request_that_failed_tries_another_runner_first() {
    let mut ranking = engine(&[("a", 2), ("b", 2)]);
    let first = granted(&submit(&mut ranking, at(0), 1, 1, 500)).remove(0).1;
    ranking.ended(at(5), id(1), DispatchEnd::Cancelled);
    let mut out = Vec::new();
    ranking.submit(at(5), record(1, 1, 500), LEFT, Some(name(&first)), &mut out);
    assert_ne!(granted(&out)[0].1, first);
}

#[test]
fn a_runner_that_breaks_rests_and_is_then_tried_with_one_request() {
    let mut ranking = engine(&[("a", 4)]);
    let mut now = at(0);
    for number in 0..2 {
        assert_eq!(granted(&submit(&mut ranking, now, number, 1, 500)).len(), 1);
        ranking.ended(now, id(number), DispatchEnd::Failed);
        assert!(granted(&submit(&mut ranking, now, 100 + number, 1, 500)).is_empty());
        let mut out = Vec::new();
        ranking.withdraw(now, id(100 + number), &mut out);
        now = now + Duration::from_secs(3);
    }
    let all: Vec<_> =
        (10..13).flat_map(|number| granted(&submit(&mut ranking, now, number, 1, 500))).collect();
    assert_eq!(all.len(), 1, "one request tries whether it works again");
}

#[test]
fn a_runner_that_is_full_rests_and_its_request_waits_again() {
    let mut ranking = engine(&[("a", 1)]);
    submit(&mut ranking, at(0), 1, 1, 500);
    let mut out = Vec::new();
    ranking.requeue(at(5), id(1), Some(DispatchFailure::Full), &mut out);
    assert!(granted(&out).is_empty());
    ranking.tick(at(200), &mut out);
    assert_eq!(granted(&out), [(1, "a".to_owned())]);
}

#[test]
fn a_host_that_is_lost_leaves_its_places_to_others() {
    let mut ranking = engine(&[("a", 1)]);
    submit(&mut ranking, at(0), 1, 1, 500);
    let mut other = record(2, 1, 500);
    other.entry = host("h2");
    let mut out = Vec::new();
    ranking.submit(at(1), other, LEFT, None, &mut out);
    assert!(out.is_empty());
    ranking.host_left(at(2), &host("h1"), &mut out);
    assert_eq!(granted(&out), [(2, "a".to_owned())]);
}

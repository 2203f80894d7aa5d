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

fn scheduler_with(runners: &[(&str, u32)]) -> UpstreamScheduler {
    let mut scheduler = UpstreamScheduler::new(true);
    for (runner, slots) in runners {
        scheduler.set_runner(name(runner), *slots, false);
    }
    scheduler
}

/// Lets the scheduler learn a runner's rates from eight complete responses.
fn train(scheduler: &mut UpstreamScheduler, runner: &str, prefill_us: u64, decode_us: u64) {
    for number in 0..8 {
        let number = 1_000_000 + number;
        let start = at(0);
        scheduler.adopt(start, record(number, 0, 1_000), LEFT, name(runner));
        let first = Duration::from_micros(22_000 + prefill_us * 1_000);
        scheduler.first_token(start + first, id(number));
        let total = first + Duration::from_micros(decode_us * 100);
        let usage = Usage { decode_tokens: 101, first_token: first, total, ..Usage::default() };
        scheduler.ended(start + total, id(number), DispatchEnd::Complete(usage));
    }
}

fn submit(
    scheduler: &mut UpstreamScheduler,
    now: MonoTime,
    number: u128,
    tier: u8,
    prompt: u32,
) -> Vec<Decision> {
    let mut out = Vec::new();
    scheduler.submit(now, record(number, tier, prompt), LEFT, None, &mut out);
    out
}

fn granted(decisions: &[Decision]) -> Vec<(u128, String)> {
    let grants = decisions.iter().filter_map(|decision| match decision {
        Decision::Grant(_, id, runner) => Some((id.value(), runner.to_string())),
        Decision::Refuse(..) => None,
    });
    grants.collect()
}

/// The log line must stay short with thousands of runners.
#[test]
fn log_line_lists_all_runners_only_if_they_are_few() {
    let mut few = scheduler_with(&[("a", 2), ("b", 2)]);
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
fn runner_gets_no_more_requests_than_slots() {
    let mut scheduler = scheduler_with(&[("a", 2)]);
    let all: Vec<_> =
        (0..5).flat_map(|number| granted(&submit(&mut scheduler, at(0), number, 1, 500))).collect();
    assert_eq!(all.len(), 2);
    assert_eq!(scheduler.waiting(), 3);
}

/// A burst of a low tier fills the queue; a request of the top tier that arrives
/// after it gets the next slot.
#[test]
fn top_tier_is_granted_before_a_backlog_of_lower_tiers() {
    let mut scheduler = scheduler_with(&[("a", 1)]);
    for number in 0..4 {
        submit(&mut scheduler, at(0), number, 2, 500);
    }
    assert!(granted(&submit(&mut scheduler, at(10), 9, 0, 500)).is_empty());
    let mut out = Vec::new();
    scheduler.ended(at(20), id(0), DispatchEnd::Cancelled);
    scheduler.tick(at(20), &mut out);
    assert_eq!(granted(&out), [(9, "a".to_owned())]);
}

#[test]
fn late_request_is_granted_after_one_that_can_meet_its_target() {
    let mut scheduler = scheduler_with(&[("a", 1)]);
    submit(&mut scheduler, at(0), 1, 1, 500);
    submit(&mut scheduler, at(0), 2, 1, 500);
    submit(&mut scheduler, at(900), 3, 1, 500);
    let mut out = Vec::new();
    scheduler.ended(at(1_000), id(1), DispatchEnd::Cancelled);
    scheduler.tick(at(1_000), &mut out);
    assert_eq!(granted(&out)[0].0, 3, "request 2 missed its target at 800 ms");
    out.clear();
    scheduler.ended(at(1_100), id(3), DispatchEnd::Cancelled);
    scheduler.tick(at(1_100), &mut out);
    assert_eq!(granted(&out)[0].0, 2, "a late request is still granted");
}

/// A request that was marked late in an earlier pass stays behind one that
/// arrived after it and can still meet its target.
#[test]
fn request_marked_late_stays_behind_later_arrivals_in_time() {
    let mut scheduler = scheduler_with(&[("a", 1)]);
    submit(&mut scheduler, at(0), 1, 1, 500);
    submit(&mut scheduler, at(0), 2, 1, 500);
    submit(&mut scheduler, at(900), 3, 1, 500);
    let mut out = Vec::new();
    scheduler.ended(at(1_000), id(1), DispatchEnd::Cancelled);
    scheduler.tick(at(1_000), &mut out);
    submit(&mut scheduler, at(1_050), 4, 1, 500);
    out.clear();
    scheduler.ended(at(1_100), id(3), DispatchEnd::Cancelled);
    scheduler.tick(at(1_100), &mut out);
    assert_eq!(granted(&out)[0].0, 4, "request 2 was already late at 1,000 ms");
}

/// A third of the engines is several times slower. A long prompt waits for a fast
/// engine that is free in time; a short one behind it does not wait.
#[test]
fn long_prompt_waits_for_a_fast_runner_without_blocking_others() {
    let mut scheduler = scheduler_with(&[("fast", 1), ("slow", 4)]);
    train(&mut scheduler, "fast", 15, 4_000);
    train(&mut scheduler, "slow", 100, 17_000);
    assert_eq!(granted(&submit(&mut scheduler, at(5_000), 1, 1, 500)), [(1, "fast".to_owned())]);
    assert!(granted(&submit(&mut scheduler, at(5_001), 2, 1, 20_000)).is_empty());
    assert_eq!(granted(&submit(&mut scheduler, at(5_002), 3, 1, 500)), [(3, "slow".to_owned())]);
    let mut out = Vec::new();
    scheduler.ended(at(5_100), id(1), DispatchEnd::Cancelled);
    scheduler.tick(at(5_100), &mut out);
    assert_eq!(granted(&out), [(2, "fast".to_owned())]);
}

/// On a slow engine a long prompt pauses other streams for longer than the target
/// between tokens allows.
#[test]
fn prompt_that_would_pause_other_streams_too_long_is_not_granted() {
    let mut scheduler = scheduler_with(&[("slow", 4)]);
    train(&mut scheduler, "slow", 100, 17_000);
    assert_eq!(granted(&submit(&mut scheduler, at(5_000), 1, 1, 500)).len(), 1);
    assert!(granted(&submit(&mut scheduler, at(5_001), 2, 1, 4_000)).is_empty());
    assert_eq!(granted(&submit(&mut scheduler, at(5_002), 3, 1, 300)).len(), 1);
}

/// Among hundreds of engines with streams, the idle one gets the prompt, even if
/// it is slower than the others.
#[test]
fn idle_runner_is_found_behind_many_busy_ones() {
    let names: Vec<_> = (0..200).map(|number| format!("r{number:03}")).collect();
    let runners: Vec<_> = names.iter().map(|name| (name.as_str(), 4)).collect();
    let mut scheduler = scheduler_with(&runners);
    for (number, name) in names.iter().enumerate() {
        let idle = number == 120;
        // The idle runner is slightly slower, so that it is sorted behind the others.
        train(&mut scheduler, name, if idle { 110 } else { 100 }, 17_000);
        if !idle {
            let busy = number as u128;
            scheduler.adopt(at(4_000), record(busy, 1, 500), LEFT, crate::support::name(name));
            scheduler.first_token(at(4_072), id(busy));
        }
    }
    let granted = granted(&submit(&mut scheduler, at(5_000), 5_000, 1, 4_000));
    assert_eq!(granted, [(5_000, "r120".to_owned())]);
}

/// While long prompts find no engine, requests with a shorter prompt or a longer
/// allowed pause between tokens are still tried.
#[test]
fn unplaceable_prompts_do_not_block_placeable_ones() {
    let mut scheduler = scheduler_with(&[("slow", 4)]);
    train(&mut scheduler, "slow", 100, 17_000);
    assert_eq!(granted(&submit(&mut scheduler, at(5_000), 1, 1, 500)).len(), 1);
    for number in 2..4 {
        assert!(granted(&submit(&mut scheduler, at(5_001), number, 1, 4_000)).is_empty());
    }
    let mut patient = record(30, 1, 4_000);
    patient.target = Target::Stream {
        first_token: Duration::from_millis(800),
        between_tokens: Duration::from_secs(2),
    };
    let mut out = Vec::new();
    scheduler.submit(at(5_002), patient, LEFT, None, &mut out);
    assert_eq!(granted(&out), [(30, "slow".to_owned())]);
    scheduler.first_token(at(5_072), id(1));
    scheduler.first_token(at(5_474), id(30));
    assert_eq!(granted(&submit(&mut scheduler, at(5_800), 31, 2, 300)).len(), 1);
}

#[test]
fn backlog_that_cannot_be_served_is_shed_with_a_retry_delay() {
    let mut scheduler = scheduler_with(&[("a", 1)]);
    let mut refused = Vec::new();
    for number in 0..40 {
        let decisions = submit(&mut scheduler, at(0), number, 1, 2_000);
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
fn request_that_waits_too_long_is_refused_early_enough_to_retry() {
    let mut scheduler = scheduler_with(&[("a", 1)]);
    submit(&mut scheduler, at(0), 1, 1, 500);
    submit(&mut scheduler, at(0), 2, 1, 500);
    let mut out = Vec::new();
    // Its caller gives up after four times the target, which is 3.2 s.
    scheduler.tick(at(1_500), &mut out);
    assert!(out.is_empty());
    scheduler.tick(at(1_700), &mut out);
    assert!(matches!(out[..], [Decision::Refuse(_, refused, ..)] if refused == id(2)), "{out:?}");
}

#[test]
fn retried_request_prefers_another_runner() {
    let mut scheduler = scheduler_with(&[("a", 2), ("b", 2)]);
    let first = granted(&submit(&mut scheduler, at(0), 1, 1, 500)).remove(0).1;
    scheduler.ended(at(5), id(1), DispatchEnd::Cancelled);
    let mut out = Vec::new();
    scheduler.submit(at(5), record(1, 1, 500), LEFT, Some(name(&first)), &mut out);
    assert_ne!(granted(&out)[0].1, first);
}

#[test]
fn failed_runner_is_paused_and_then_probed_with_one_request() {
    let mut scheduler = scheduler_with(&[("a", 4)]);
    let mut now = at(0);
    for number in 0..2 {
        assert_eq!(granted(&submit(&mut scheduler, now, number, 1, 500)).len(), 1);
        scheduler.ended(now, id(number), DispatchEnd::Failed);
        assert!(granted(&submit(&mut scheduler, now, 100 + number, 1, 500)).is_empty());
        let mut out = Vec::new();
        scheduler.withdraw(now, id(100 + number), &mut out);
        now = now + Duration::from_secs(3);
    }
    let all: Vec<_> =
        (10..13).flat_map(|number| granted(&submit(&mut scheduler, now, number, 1, 500))).collect();
    assert_eq!(all.len(), 1, "one request probes whether the runner works again");
}

#[test]
fn full_runner_is_paused_and_its_request_is_requeued() {
    let mut scheduler = scheduler_with(&[("a", 1)]);
    submit(&mut scheduler, at(0), 1, 1, 500);
    let mut out = Vec::new();
    scheduler.requeue(at(5), id(1), Some(DispatchFailure::Full), &mut out);
    assert!(granted(&out).is_empty());
    scheduler.tick(at(200), &mut out);
    assert_eq!(granted(&out), [(1, "a".to_owned())]);
}

#[test]
fn slots_of_a_host_that_is_down_are_granted_to_other_hosts() {
    let mut scheduler = scheduler_with(&[("a", 1)]);
    submit(&mut scheduler, at(0), 1, 1, 500);
    let mut other = record(2, 1, 500);
    other.entry = host("h2");
    let mut out = Vec::new();
    scheduler.submit(at(1), other, LEFT, None, &mut out);
    assert!(out.is_empty());
    scheduler.host_left(at(2), &host("h1"), &mut out);
    assert_eq!(granted(&out), [(2, "a".to_owned())]);
}

#[test]
fn requeued_request_keeps_the_end_of_its_target() {
    let mut scheduler = scheduler_with(&[("a", 1)]);
    submit(&mut scheduler, at(0), 1, 1, 500);
    submit(&mut scheduler, at(200), 2, 1, 500);
    let mut out = Vec::new();
    scheduler.requeue(at(500), id(1), Some(DispatchFailure::Full), &mut out);
    for ms in (520..700).step_by(20) {
        scheduler.tick(at(ms), &mut out);
    }
    assert_eq!(granted(&out)[0].0, 1, "its target ends first");
}

fn submit_from(
    scheduler: &mut UpstreamScheduler,
    ms: u64,
    number: u128,
    from: &str,
) -> Vec<String> {
    let mut request = record(number, 1, 500);
    request.entry = host(from);
    let mut out = Vec::new();
    scheduler.submit(at(ms), request, LEFT, None, &mut out);
    granted(&out).into_iter().map(|(_, runner)| runner).collect()
}

#[test]
fn runner_that_asked_one_host_for_rest_serves_the_others() {
    let mut scheduler = scheduler_with(&[("a", 4)]);
    scheduler.rest_runner(at(0), &name("a"), host("h1"), Duration::from_secs(1));
    assert!(submit_from(&mut scheduler, 1, 1, "h1").is_empty());
    assert_eq!(submit_from(&mut scheduler, 2, 2, "h2"), ["a"]);
    let mut out = Vec::new();
    scheduler.tick(at(1_000), &mut out);
    assert_eq!(granted(&out)[0].0, 1);
}

#[test]
fn runner_that_asked_several_hosts_for_rest_is_probed_first_afterwards() {
    let mut scheduler = scheduler_with(&[("a", 4)]);
    for from in ["h1", "h2"] {
        scheduler.rest_runner(at(0), &name("a"), host(from), Duration::from_secs(1));
    }
    for (number, from) in [(1, "h1"), (2, "h2"), (3, "h3")] {
        assert!(submit_from(&mut scheduler, 1, number, from).is_empty());
    }
    let mut out = Vec::new();
    scheduler.tick(at(1_000), &mut out);
    assert_eq!(granted(&out).len(), 1, "one request probes the runner");
    let probe = id(granted(&out)[0].0);
    scheduler.first_token(at(1_050), probe);
    out.clear();
    scheduler.tick(at(1_060), &mut out);
    assert_eq!(granted(&out).len(), 2);
}

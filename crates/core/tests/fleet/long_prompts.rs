//! Prompts of as many parts as a request's head may name, one of which crashes runners.

use comfreyway_core::fleet::{
    PromptPart, Quarantine, RunnerKey, Suspect, SuspectList, SuspectRun, SuspectState,
};
use rstest::rstest;

use crate::{
    runner_fleet::digest,
    support::{at, name},
};

const CRASHING: PromptPart = PromptPart(0xbad);

/// Parts that fit into a head of 16 KiB.
const MAX_PARTS: u64 = 3_500;

/// Crashes after which a part of prompts is quarantined.
const MAX_CRASHES: u64 = 5;

/// Suspects of one prompt that other hosts and the store may hear of.
const MAX_SHARED: usize = 33;

/// Parts that no other set has.
fn parts_of(set: u64, count: u64) -> impl Iterator<Item = PromptPart> {
    (0..count).map(move |number| PromptPart((set + 1) << 32 | number))
}

/// Suspects of a request with these parts, whose body is unlike all others.
fn suspects<I>(request: u64, parts: I) -> SuspectList
where
    I: IntoIterator<Item = PromptPart>,
{
    SuspectList::new(parts, Some(digest(request)))
}

/// Suspects of a request with the crashing part at `position` of `count` parts, the others of a
/// set.
fn crashing(request: u64, set: u64, position: u64, count: u64) -> SuspectList {
    let mut parts: Vec<_> = parts_of(set, count - 1).collect();
    parts.insert(position as usize, CRASHING);
    suspects(request, parts)
}

/// A request that was in progress at the runner of this number, which ended.
fn run(number: u64, suspects: SuspectList) -> SuspectRun {
    let runner = RunnerKey { name: name(&format!("r{number}")), started_ms: Some(1) };
    let (granted_at, ended_at) = (at(1_000 * number), at(1_000 * number + 100));
    SuspectRun { runner, suspects, granted_at, begun_at: None, ended_at }
}

/// The runner of this number crashes under these requests.
fn crash<I>(quarantine: &mut Quarantine, number: u64, requests: I)
where
    I: IntoIterator<Item = SuspectList>,
{
    for suspects in requests {
        quarantine.broke(&run(number, suspects));
    }
    quarantine.run_ended(&run(number, SuspectList::default()).runner);
    quarantine.decide();
}

fn state(quarantine: &Quarantine) -> SuspectState {
    quarantine.state(Suspect::Part(CRASHING))
}

fn quarantined(quarantine: &Quarantine) -> Vec<Suspect> {
    quarantine.quarantined().map(|(suspect, _)| suspect).collect()
}

/// Only the first 32 parts of a prompt were read.
#[rstest]
fn a_crashing_part_is_found_wherever_it_stands(
    #[values(33, 40, MAX_PARTS)] count: u64,
    #[values(0.0, 0.5, 0.9, 1.0)] place: f64,
) {
    let position = ((count - 1) as f64 * place) as u64;
    let mut quarantine = Quarantine::default();
    for number in 1..=MAX_CRASHES {
        assert!(state(&quarantine) < SuspectState::Quarantined, "after {number} crashes");
        crash(&mut quarantine, number, [crashing(number, number, position, count)]);
    }
    assert_eq!(quarantined(&quarantine), [Suspect::Part(CRASHING)]);
    let sound = suspects(100, parts_of(1, count - 1));
    assert_eq!(quarantine.state_of(&sound), SuspectState::Free);
}

/// A caller fills its prompts, and sends others that are at the runner when it crashes, so that
/// as much as possible is known of parts that are in no other prompt.
#[test]
fn no_parts_push_the_crashing_one_out() {
    let mut quarantine = Quarantine::default();
    for number in 1..=MAX_CRASHES {
        let beside = (1..12).map(|beside| {
            let set = 100 * number + beside;
            suspects(set, parts_of(set, MAX_PARTS))
        });
        let all = beside.chain([crashing(number, number, number, MAX_PARTS)]);
        crash(&mut quarantine, number, all);
    }
    assert_eq!(quarantined(&quarantine), [Suspect::Part(CRASHING)]);
}

/// Parts that are in all prompts with the crashing one can't be told from it. They stop these
/// prompts as well, and once they are exchanged the crashing one is found.
#[test]
fn parts_that_stay_beside_the_crashing_one_hide_it_only_once() {
    let mut quarantine = Quarantine::default();
    for number in 1..=MAX_CRASHES {
        assert!(quarantine.known_suspects().count() <= MAX_SHARED);
        crash(&mut quarantine, number, [crashing(number, 0, 7, MAX_PARTS)]);
    }
    let again = crashing(100, 0, 7, MAX_PARTS);
    assert_eq!(quarantine.state_of(&again), SuspectState::Quarantined);
    crash(&mut quarantine, 6, [crashing(6, 1, 7, MAX_PARTS)]);
    assert_eq!(state(&quarantine), SuspectState::Quarantined);
}

#[test]
fn crashes_of_long_and_short_prompts_add_up() {
    let mut quarantine = Quarantine::default();
    for (number, count) in (1..).zip([40, 3, MAX_PARTS, 3, 40]) {
        assert!(state(&quarantine) < SuspectState::Quarantined);
        crash(&mut quarantine, number, [crashing(number, number, 1, count)]);
    }
    assert_eq!(quarantined(&quarantine), [Suspect::Part(CRASHING)]);
}

#[rstest]
#[case::noted_once(1)]
#[case::tried(4)]
fn a_complete_response_clears_the_parts_of_a_long_prompt(#[case] crashes: u64) {
    let mut quarantine = Quarantine::default();
    for number in 1..=crashes {
        crash(&mut quarantine, number, [crashing(number, number, 39, 40)]);
    }
    quarantine.completed(&crashing(100, 100, 99, 100));
    assert_eq!(state(&quarantine), SuspectState::Free);
    for number in 11..11 + MAX_CRASHES - 1 {
        crash(&mut quarantine, number, [crashing(number, number, 39, 40)]);
    }
    assert_eq!(state(&quarantine), SuspectState::Trial);
}

#[test]
fn runs_that_go_on_responding_are_no_crashes_of_long_prompts() {
    let mut quarantine = Quarantine::default();
    for number in 1..=MAX_CRASHES {
        let run = run(number, crashing(number, number, 39, 40));
        quarantine.broke(&run);
        quarantine.run_responded(at(1_000 * number + 500), &run.runner);
    }
    crash(&mut quarantine, 6, [crashing(6, 6, 39, 40)]);
    assert_eq!(state(&quarantine), SuspectState::Free);
}

/// Each part of the longest prompts would be an item of the store and a part of each message.
#[test]
fn few_parts_of_a_long_prompt_are_shared_with_other_hosts() {
    let mut quarantine = Quarantine::default();
    for number in 1..MAX_CRASHES {
        crash(&mut quarantine, number, [crashing(1, 0, 7, MAX_PARTS)]);
        quarantine.take_changed();
    }
    let shared = quarantine.known_suspects().count();
    assert!((1..=MAX_SHARED).contains(&shared), "{shared}");
}

/// A break at a run that went on responding stayed noted, and became a crash once the run ended
/// for another reason.
#[rstest]
#[case::responded(|q: &mut Quarantine, number, runner: &RunnerKey| {
    q.run_responded(at(1_000 * number + 500), runner);
})]
#[case::still_listed(|q: &mut Quarantine, number, _: &RunnerKey| {
    q.tick(at(1_000 * number + 9_000), at(1_000 * number + 9_000));
})]
#[case::left_as_planned(|q: &mut Quarantine, _, runner: &RunnerKey| q.run_left(runner))]
fn a_break_that_was_no_crash_does_not_become_one_later(
    #[case] then: fn(&mut Quarantine, u64, &RunnerKey),
) {
    let mut quarantine = Quarantine::default();
    for number in 1..=MAX_CRASHES {
        let run = run(number, crashing(number, number, 39, 40));
        quarantine.broke(&run);
        then(&mut quarantine, number, &run.runner);
    }
    for number in 1..=MAX_CRASHES {
        crash(&mut quarantine, number, [suspects(100 + number, parts_of(100 + number, 40))]);
    }
    crash(&mut quarantine, 11, [crashing(11, 11, 39, 40)]);
    assert_eq!(state(&quarantine), SuspectState::Free);
}

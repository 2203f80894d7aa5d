//! Changes of the configuration: merging, conflicts, change IDs and limits.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use comfreyway_core::{
    config::{
        AcceptedConfig, Change, ChangeId, Class, DataCentre, Document, Edit, Element, ElementKey,
        MAX_HISTORY_CHANGES, ProposalOutcome, Refusal, Runner, Severity, UpstreamKind,
        UpstreamSpec, Workspace,
    },
    ids::Tier,
    request::Target,
};
use rstest::rstest;

fn class(name: &str, tier: u8) -> Edit {
    let value = Class {
        tier: Tier(tier),
        target: Target::Whole(Duration::from_secs(1)),
        idempotent: true,
        cancellable: true,
    };
    Edit::Set(Element::Class(name.parse().unwrap(), value))
}

fn upstream(name: &str) -> Edit {
    let spec = UpstreamSpec { kind: UpstreamKind::Engine, checks_fencing: true, resumes: true };
    Edit::Set(Element::Upstream(name.parse().unwrap(), spec))
}

fn runner(upstream: &str, name: &str, address: &str) -> Edit {
    let value = Runner {
        address: address.parse().unwrap(),
        data_centre: "alatau".parse().unwrap(),
        leaving: false,
    };
    Edit::Set(Element::Runner(upstream.parse().unwrap(), name.parse().unwrap(), value))
}

fn data_centre(name: &str) -> Edit {
    let value = DataCentre { region: "almaty".parse().unwrap() };
    Edit::Set(Element::DataCentre(name.parse().unwrap(), value))
}

fn change(base: u64, nonce: u64, edits: Vec<Edit>) -> Change {
    Change { id: ChangeId::new(base, nonce), author: "aigul".parse().unwrap(), edits }
}

fn accept(accepted: &AcceptedConfig, change: &Change) -> AcceptedConfig {
    match accepted.propose(change, 0) {
        ProposalOutcome::Next { next, .. } => *next,
        other => panic!("not accepted: {other:?}"),
    }
}

fn initial_config() -> AcceptedConfig {
    let edits = vec![
        class("quote", 0),
        data_centre("alatau"),
        upstream("llm"),
        runner("llm", "r1", "127.0.0.1:1001"),
    ];
    accept(&AcceptedConfig::default(), &change(0, 1, edits))
}

#[test]
fn changes_of_different_elements_are_both_accepted() {
    let base = initial_config();
    let first = accept(&base, &change(1, 2, vec![class("triage", 1)]));
    let second = accept(&first, &change(1, 3, vec![class("review", 2)]));
    assert_eq!(second.version(), 3);
    assert_eq!(second.document().classes.len(), 3);
}

#[test]
fn conflict_reports_both_values_and_the_first_author() {
    let first = accept(&initial_config(), &change(1, 2, vec![class("quote", 1)]));
    let mut late = change(1, 3, vec![class("quote", 2)]);
    late.author = "timur".parse().unwrap();
    let ProposalOutcome::Refused(Refusal::Conflict(conflicts)) = first.propose(&late, 0) else {
        panic!("not a conflict");
    };
    let tier = |element: &Option<Element>| match element {
        Some(Element::Class(_, class)) => class.tier,
        other => panic!("not a class: {other:?}"),
    };
    assert_eq!(tier(&conflicts[0].yours), Tier(2));
    assert_eq!(tier(&conflicts[0].theirs), Tier(1));
    assert_eq!(conflicts[0].author.as_str(), "aigul");
    assert_eq!(conflicts[0].version, 2);
}

#[rstest]
#[case::runner_of_removed_upstream(
    vec![Edit::Remove(ElementKey::Upstream("llm".parse().unwrap()))],
    vec![runner("llm", "r2", "127.0.0.1:1002")]
)]
#[case::removed_upstream_of_changed_runner(
    vec![runner("llm", "r2", "127.0.0.1:1002")],
    vec![Edit::Remove(ElementKey::Upstream("llm".parse().unwrap()))]
)]
fn an_upstream_conflicts_with_its_runners(#[case] first: Vec<Edit>, #[case] second: Vec<Edit>) {
    let first = accept(&initial_config(), &change(1, 2, first));
    let outcome = first.propose(&change(1, 3, second), 0);
    assert!(matches!(outcome, ProposalOutcome::Refused(Refusal::Conflict(_))), "{outcome:?}");
}

#[test]
fn merged_document_is_validated_again() {
    let removed = Edit::Remove(ElementKey::DataCentre("alatau".parse().unwrap()));
    let start = accept(
        &AcceptedConfig::default(),
        &change(0, 1, vec![data_centre("alatau"), upstream("llm")]),
    );
    let first = accept(&start, &change(1, 2, vec![removed]));
    let outcome = first.propose(&change(1, 3, vec![runner("llm", "r1", "127.0.0.1:1001")]), 0);
    let ProposalOutcome::Refused(Refusal::Invalid(findings)) = outcome else { panic!("accepted") };
    assert!(findings[0].to_string().contains("runner llm r1: data-centre: alatau"));
}

#[test]
fn change_is_applied_once_even_after_its_removal_from_the_history() {
    let mine = change(1, 2, vec![class("quote", 1)]);
    let mut accepted = accept(&initial_config(), &mine);
    assert_eq!(accepted.propose(&mine, 0), ProposalOutcome::Duplicate(2));
    for i in 0..MAX_HISTORY_CHANGES as u64 {
        let other = change(accepted.version(), i, vec![class("quote", (i % 2 * 2) as u8)]);
        accepted = accept(&accepted, &other);
    }
    let outcome = accepted.propose(&mine, 0);
    assert!(
        matches!(outcome, ProposalOutcome::Refused(Refusal::Base { base: 1, .. })),
        "{outcome:?}"
    );
}

#[test]
fn unchanged_value_creates_no_version() {
    let outcome = initial_config().propose(&change(1, 2, vec![class("quote", 0)]), 0);
    assert_eq!(outcome, ProposalOutcome::Unchanged(1));
}

#[test]
fn a_removal_by_two_operators_is_no_conflict() {
    let remove = vec![Edit::Remove(ElementKey::Class("quote".parse().unwrap()))];
    let first = accept(&initial_config(), &change(1, 2, remove.clone()));
    assert_eq!(first.propose(&change(1, 3, remove), 0), ProposalOutcome::Unchanged(2));
}

#[rstest]
#[case::no_edits(vec![], "has no edits")]
#[case::twice(vec![class("a", 0), class("a", 1)], "changed twice")]
#[case::upstream_and_runner(
    vec![
        Edit::Remove(ElementKey::Upstream("llm".parse().unwrap())),
        runner("llm", "r2", "127.0.0.1:1002"),
    ],
    "removal of its upstream"
)]
#[case::unknown_removed(
    vec![Edit::Remove(ElementKey::Class("none".parse().unwrap()))],
    "class none: is not configured"
)]
#[case::same_address(vec![runner("llm", "r2", "127.0.0.1:1001")], "address of runner llm r1")]
#[case::tier_over_limit(vec![class("low", 16)], "over the limit of 15")]
#[case::long_note(
    vec![Edit::Set(Element::Workspace(
        "lab".parse().unwrap(),
        Workspace { note: "x".repeat(2_000) },
    ))],
    "shorten it"
)]
fn invalid_change_is_refused_with_its_place_and_a_remedy(
    #[case] edits: Vec<Edit>,
    #[case] text: &str,
) {
    let outcome = initial_config().propose(&change(1, 2, edits), 0);
    let ProposalOutcome::Refused(Refusal::Invalid(findings)) = outcome else {
        panic!("{outcome:?}")
    };
    let all: Vec<_> = findings.iter().map(ToString::to_string).collect();
    assert!(all.iter().any(|f| f.contains(text)), "{all:?}");
}

#[test]
fn a_tier_gap_is_a_warning() {
    let outcome = initial_config().propose(&change(1, 2, vec![class("low", 2)]), 0);
    let ProposalOutcome::Next { warnings, .. } = outcome else { panic!("{outcome:?}") };
    assert_eq!(warnings[0].severity, Severity::Warning);
    assert_eq!(warnings[0].place, "tier 1");
}

#[test]
fn base_above_the_current_version_is_refused() {
    let outcome = initial_config().propose(&change(9, 2, vec![class("low", 1)]), 0);
    assert!(matches!(outcome, ProposalOutcome::Refused(Refusal::Base { base: 9, version: 1, .. })));
}

#[test]
fn replay_of_deltas_yields_the_same_configuration() {
    let old = initial_config();
    let mut new = old.clone();
    for i in 0..20 {
        let name = format!("class-{i}");
        new = accept(&new, &change(new.version(), i, vec![class(&name, 1)]));
    }
    let deltas = new.changes_since(old.version()).unwrap();
    assert_eq!(old.replay(&deltas), Some(new));
}

#[test]
fn diff_of_two_documents_turns_one_into_the_other() {
    let old = initial_config();
    let remove = Edit::Remove(ElementKey::Upstream("llm".parse().unwrap()));
    let new = accept(&old, &change(1, 2, vec![remove, class("triage", 1)]));
    let mut document = old.document().clone();
    for edit in old.document().diff(new.document()) {
        document.apply(&edit).unwrap();
    }
    document.version = new.version();
    assert_eq!(&document, new.document());
}

#[test]
fn a_history_with_gaps_is_dropped() {
    let accepted = accept(&initial_config(), &change(1, 2, vec![class("triage", 1)]));
    let mut history = accepted.history().clone();
    history.pop_back();
    let read = AcceptedConfig::new(accepted.document().clone(), history);
    assert!(read.history().is_empty());
    assert_eq!(
        AcceptedConfig::new(Document::default(), accepted.history().clone()).oldest_base(),
        0
    );
}

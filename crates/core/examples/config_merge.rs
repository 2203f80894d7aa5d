//! Share of changes that land without an operator's retry: element by element
//! against refusal of every change whose base is not the version in force.
//!
//! Run: `cargo run --release -p comfreyway-core --example config_merge`

use std::{error::Error, time::Duration};

use comfreyway_core::{
    config::{
        AcceptedConfig, Change, ChangeId, Class, DataCentre, Edit, Element, ProposalOutcome,
        Runner, UpstreamKind, UpstreamSpec, Workspace,
    },
    ids::{IdError, Tier},
    request::Target,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const SEED: u64 = 6;
const CHANGES: usize = 20_000;
const CLASSES: usize = 20;
const RUNNERS: usize = 220;
const WORKSPACES: usize = 86;

/// Mean times from reading the configuration to sending the change, in seconds.
const EDIT_TIMES_S: [f64; 4] = [0.1, 2.0, 20.0, 120.0];

/// Rates with their names, in changes a second.
const RATES: [(&str, f64); 2] = [("2,300 a day", 2_300.0 / 86_400.0), ("50 a minute", 50.0 / 60.0)];

struct Attempt {
    read_s: f64,
    sent_s: f64,
    edit: Edit,
}

#[derive(Default)]
struct Landed {
    by_element: usize,
    whole: usize,
}

fn main() -> Result<(), Box<dyn Error>> {
    println!("{:<12} {:>12} {:>12} {:>12}", "rate", "edit time s", "by element", "whole");
    for (name, rate) in RATES {
        for edit_time in EDIT_TIMES_S {
            let landed = run(rate, edit_time)?;
            let share = |count: usize| 100.0 * count as f64 / CHANGES as f64;
            let (by_element, whole) = (share(landed.by_element), share(landed.whole));
            println!("{name:<12} {edit_time:>12} {by_element:>11.2}% {whole:>11.2}%");
        }
    }
    Ok(())
}

fn run(rate: f64, edit_time: f64) -> Result<Landed, IdError> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let attempts = attempts(&mut rng, rate, edit_time)?;
    let mut accepted = start()?;
    let mut by_element_times = vec![0.0; accepted.version() as usize];
    let mut whole_times: Vec<f64> = Vec::new();
    let mut landed = Landed::default();
    for (i, attempt) in attempts.into_iter().enumerate() {
        let in_between = whole_times.iter().rev().take_while(|&&at| at > attempt.read_s).count();
        if in_between == 0 {
            whole_times.push(attempt.sent_s);
            landed.whole += 1;
        }
        let base = by_element_times.partition_point(|&at| at <= attempt.read_s) as u64;
        let id = ChangeId::new(base, i as u64);
        let change = Change { id, author: "operator".parse()?, edits: vec![attempt.edit] };
        match accepted.propose(&change, 0) {
            ProposalOutcome::Next { next, .. } => {
                accepted = *next;
                by_element_times.push(attempt.sent_s);
                landed.by_element += 1;
            }
            ProposalOutcome::Unchanged(_) | ProposalOutcome::Duplicate(_) => landed.by_element += 1,
            ProposalOutcome::Refused(_) => {}
        }
    }
    Ok(landed)
}

/// Attempts in order of sending.
fn attempts(rng: &mut SmallRng, rate: f64, edit_time: f64) -> Result<Vec<Attempt>, IdError> {
    let mut sent_s = 1_000.0;
    (0..CHANGES)
        .map(|i| {
            sent_s += exponential(rng, 1.0 / rate);
            let read_s = sent_s - exponential(rng, edit_time);
            Ok(Attempt { read_s, sent_s, edit: random_edit(rng, i)? })
        })
        .collect()
}

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Half of the changes are of runners, three in ten of classes, the rest of
/// workspaces. Values differ from change to change.
fn random_edit(rng: &mut SmallRng, i: usize) -> Result<Edit, IdError> {
    let element = match rng.random_range(0..10) {
        0..5 => runner(rng.random_range(0..RUNNERS), i)?,
        5..8 => class(rng.random_range(0..CLASSES), i)?,
        _ => {
            let name = format!("workspace-{}", rng.random_range(0..WORKSPACES));
            Element::Workspace(name.parse()?, Workspace { note: i.to_string() })
        }
    };
    Ok(Edit::Set(element))
}

fn class(n: usize, value: usize) -> Result<Element, IdError> {
    let target = Target::Whole(Duration::from_millis(value as u64 + 1));
    let class = Class { tier: Tier(0), target, idempotent: true, cancellable: true };
    Ok(Element::Class(format!("class-{n}").parse()?, class))
}

fn runner(n: usize, value: usize) -> Result<Element, IdError> {
    let address = ([10, 0, (value / 60_000) as u8, n as u8], (value % 60_000) as u16 + 1).into();
    let data_centre = "medeu".parse()?;
    let runner = Runner { address, data_centre, leaving: value.is_multiple_of(2) };
    Ok(Element::Runner("llm".parse()?, format!("runner-{n}").parse()?, runner))
}

/// A configuration with the upstream and data centre that the runners need.
fn start() -> Result<AcceptedConfig, IdError> {
    let spec = UpstreamSpec { kind: UpstreamKind::Engine, checks_fencing: true, resumes: true };
    let data_centre = DataCentre { region: "almaty".parse()? };
    let edits = vec![
        Edit::Set(Element::DataCentre("medeu".parse()?, data_centre)),
        Edit::Set(Element::Upstream("llm".parse()?, spec)),
    ];
    let change = Change { id: ChangeId::new(0, u64::MAX), author: "operator".parse()?, edits };
    match AcceptedConfig::default().propose(&change, 0) {
        ProposalOutcome::Next { next, .. } => Ok(*next),
        other => unreachable!("the first change is valid: {other:?}"),
    }
}

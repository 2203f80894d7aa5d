//! Counts of what began to run, by request, against the statuses that callers received.

use std::collections::BTreeMap;

use comfreyway_testkit::runner_process::Beginning;

use super::Soak;

/// Statuses that guarantee that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Checks the statuses of all requests, and the rounds after which hosts served too late.
pub(super) fn check(seed: u64, soak: &Soak, statuses: &BTreeMap<String, u16>, late: &[usize]) {
    let mut beginnings = BTreeMap::<String, Vec<Beginning>>::new();
    for (id, begun) in soak.runners.iter().flat_map(|runner| runner.process.beginnings()) {
        beginnings.entry(id).or_default().extend(begun);
    }
    let mut counts = BTreeMap::<u16, usize>::new();
    statuses.values().for_each(|status| *counts.entry(*status).or_default() += 1);
    let status = |id: &String| statuses.get(id).copied().unwrap_or(0);
    let twice = beginnings.iter().filter(|(_, begun)| begun.len() > 1);
    let twice: Vec<_> = twice.map(|(id, _)| id).collect();
    let refused = beginnings.keys().filter(|id| NOT_RUN_STATUSES.contains(&status(id)));
    let refused: Vec<_> = refused.collect();
    eprintln!(
        "seed {seed}, {:?}: {} asked, {counts:?}, {} began, TWICE {}, REFUSED {}, RECOVER {}",
        soak.links,
        statuses.len(),
        beginnings.len(),
        twice.len(),
        refused.len(),
        late.len()
    );
    for id in twice.iter().chain(&refused) {
        eprintln!("{id}: status {}, began {:?}", status(id), beginnings[*id]);
        let lines = soak.hosts.iter().flat_map(|host| host.lines_of(id));
        lines.for_each(|line| eprintln!("  {line}"));
    }
    assert!(twice.is_empty(), "seed {seed}: ran twice: {twice:?}");
    assert!(refused.is_empty(), "seed {seed}: ran and was refused: {refused:?}");
    assert!(late.is_empty(), "seed {seed}: not all hosts serve after rounds {late:?}");
    assert!(counts.contains_key(&200), "seed {seed}: none served");
}

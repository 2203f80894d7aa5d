//! Parts of long prompts under which responses broke.
//!
//! A prompt may have as many parts as fit into a request's head, thousands, and callers choose
//! them. Evidence on each would cost memory, time, messages and items of the store. What
//! crashes runners is in every prompt that does so, the other parts are mostly in one, so
//! a part is only noted here until it was in several.
//!
//! Many parts that are in no second prompt push out what was noted longest ago. A part that
//! comes again is noted anew, so what crashes runners stays, whatever else its prompts hold.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::fleet::{PromptPart, RunnerKey, Suspect};

use super::{CrashLimits, SuspectRun, evidence::MAX_RUNS};

/// Maximum number of parts in a generation, at some 100 bytes each. Two generations are kept.
const GENERATION: usize = 65_536;

/// The parts that were noted last, each with the runs that broke under it.
#[derive(Clone, Debug, Default)]
pub(super) struct Candidates {
    newer: BTreeMap<PromptPart, Vec<Arc<SuspectRun>>>,
    older: BTreeMap<PromptPart, Vec<Arc<SuspectRun>>>,
}

impl Candidates {
    /// Notes a part of a prompt that broke at a run. Returns the number of its runs.
    pub(super) fn note(&mut self, part: PromptPart, run: &Arc<SuspectRun>) -> usize {
        let mut runs = self.take(part);
        if runs.len() < MAX_RUNS && runs.iter().all(|known| known.runner != run.runner) {
            runs.push(run.clone());
        }
        let count = runs.len();
        if self.newer.len() >= GENERATION {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(part, runs);
        count
    }

    /// Removes a part and returns its runs.
    pub(super) fn take(&mut self, part: PromptPart) -> Vec<Arc<SuspectRun>> {
        let runs = self.newer.remove(&part).or_else(|| self.older.remove(&part));
        runs.unwrap_or_default()
    }

    /// Discards the runs for which `keep` returns false.
    pub(super) fn retain_runs<F>(&mut self, keep: F)
    where
        F: Fn(&RunnerKey) -> bool,
    {
        let retain = |_: &PromptPart, runs: &mut Vec<Arc<SuspectRun>>| {
            runs.retain(|run| keep(&run.runner));
            !runs.is_empty()
        };
        self.newer.retain(retain);
        self.older.retain(retain);
    }

    /// Discards the runs of parts of which a quarantined suspect explains all. As for
    /// evidence, one that broke as often may be the cause as well.
    pub(super) fn explain(&mut self, cause: Suspect, explained: &BTreeSet<RunnerKey>) {
        let is_request = matches!(cause, Suspect::Request(_));
        let retain = |part: &PromptPart, runs: &mut Vec<Arc<SuspectRun>>| {
            let is_own = is_request && runs.iter().any(|run| run.suspects.contains(cause));
            if is_own || runs.iter().any(|run| !explained.contains(&run.runner)) {
                return true;
            }
            let max = CrashLimits::of(Suspect::Part(*part)).unproven;
            let is_alike = runs.len() >= max;
            runs.truncate(if is_alike { max - 1 } else { 0 });
            is_alike
        };
        self.newer.retain(retain);
        self.older.retain(retain);
    }
}

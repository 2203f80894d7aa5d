//! Checks of the tiers and latency targets of classes.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    config::{Document, Finding},
    ids::Tier,
    request::Target,
};

/// Highest tier number that a class can have, the lowest priority.
pub const MAX_TIER: Tier = Tier(15);

pub(super) fn check(document: &Document, findings: &mut Vec<Finding>) {
    for (name, class) in &document.classes {
        if class.tier > MAX_TIER {
            let text = format!("tier {} is over the limit of {MAX_TIER}", class.tier);
            findings.push(Finding::error(format!("class {name}: tier"), text));
        }
        let (key, shortest) = match class.target {
            Target::Stream { first_token, between_tokens } => {
                ("first-token and between-tokens", first_token.min(between_tokens))
            }
            Target::Whole(limit) => ("whole-answer", limit),
        };
        if shortest == Duration::ZERO {
            let text = "a target must be longer than zero; give it in milliseconds";
            findings.push(Finding::error(format!("class {name}: {key}"), text));
        }
    }
    check_tier_gaps(document, findings);
}

fn check_tier_gaps(document: &Document, findings: &mut Vec<Finding>) {
    let used: BTreeSet<_> = document.classes.values().map(|c| c.tier).collect();
    let Some(lowest) = used.last().filter(|&&tier| tier <= MAX_TIER) else { return };
    for tier in (0..lowest.0).map(Tier).filter(|tier| !used.contains(tier)) {
        let text = format!("no class has tier {tier}, but one has tier {lowest}; close the gap");
        findings.push(Finding::warning(format!("tier {tier}"), text));
    }
}

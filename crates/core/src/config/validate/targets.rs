//! Checks of latency targets against the response times of runners.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    config::{Document, Finding},
    ids::UpstreamName,
    request::Target,
};

/// Shortest response times observed on any runner of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MinServiceTimes {
    /// Time to the first token or byte.
    pub first_token: Duration,
    /// Time between two tokens; zero for a plain HTTP service.
    pub between_tokens: Duration,
    /// Time to the complete response.
    pub whole: Duration,
}

impl Document {
    /// Returns a warning for each class whose target is shorter than the
    /// shortest time observed on any runner.
    #[must_use]
    pub fn validate_targets(
        &self,
        observed: &BTreeMap<UpstreamName, MinServiceTimes>,
    ) -> Vec<Finding> {
        let mut findings = Vec::new();
        for (name, class) in &self.classes {
            let mut check = |key: &str,
                             target: Duration,
                             time: fn(&MinServiceTimes) -> Duration| {
                let shortest =
                    observed.iter().map(|(upstream, times)| (time(times), upstream)).min();
                if let Some((shortest, upstream)) =
                    shortest.filter(|(shortest, _)| *shortest > target)
                {
                    let text = format!(
                        "the target is {} ms, but the fastest runner, of {upstream}, needs {} ms",
                        target.as_millis(),
                        shortest.as_millis()
                    );
                    findings.push(Finding::warning(format!("class {name}: {key}"), text));
                }
            };
            match class.target {
                Target::Stream { first_token, between_tokens } => {
                    check("first-token", first_token, |t| t.first_token);
                    check("between-tokens", between_tokens, |t| t.between_tokens);
                }
                Target::Whole(limit) => check("whole-answer", limit, |t| t.whole),
            }
        }
        findings
    }
}

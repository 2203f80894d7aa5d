//! Checks of a whole configuration.

use std::fmt;

use super::Document;

/// Weight of a finding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// The configuration can't be accepted.
    Error,
    /// The configuration is accepted, but probably not what was meant.
    Warning,
}

/// One fault of a configuration, with its place and its mend.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Weight of the finding.
    pub severity: Severity,
    /// The element and the key.
    pub place: String,
    /// What is wrong and how to mend it.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.text)
    }
}

impl Document {
    /// Checks that every name refers to an element of this document.
    #[must_use]
    pub fn validate(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        for (name, model) in &self.models {
            if !self.upstreams.contains_key(&model.upstream) {
                findings.push(unknown(format!("model {name}: upstream"), &model.upstream));
            }
        }
        for (prefix, route) in &self.routes {
            if !self.upstreams.contains_key(&route.upstream) {
                findings.push(unknown(format!("route {prefix}: upstream"), &route.upstream));
            }
            if let Some(class) = route.class.as_ref().filter(|c| !self.classes.contains_key(c)) {
                findings.push(unknown(format!("route {prefix}: class"), class));
            }
        }
        for (name, upstream) in &self.upstreams {
            for (runner, spec) in &upstream.runners {
                if !self.data_centres.contains_key(&spec.data_centre) {
                    let place = format!("upstream {name}: runner {runner}: data centre");
                    findings.push(unknown(place, &spec.data_centre));
                }
            }
        }
        findings
    }
}

fn unknown<T>(place: String, name: &T) -> Finding
where
    T: fmt::Display,
{
    let text = format!("{name} is not configured; add it first or name another");
    Finding { severity: Severity::Error, place, text }
}

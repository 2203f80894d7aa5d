//! Elements that no request can reach, and limits that contradict each other.
//!
//! Such a configuration is accepted: it may be a step of several changes. Operators are told
//! before they send it.

use crate::{
    config::{Document, Finding, Upstream, UpstreamKind},
    ids::UpstreamName,
    request::Target,
};

impl Document {
    /// Returns a warning for each element that can never be used, and for each limit that
    /// another one makes pointless.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_core::config::{Document, Route};
    ///
    /// let mut document = Document::default();
    /// let route = Route { upstream: "portal".parse().unwrap(), class: None };
    /// document.routes.insert("/status?full".to_owned(), route);
    /// let findings = document.validate_reach();
    /// assert_eq!(findings[0].place, "route /status?full");
    /// ```
    #[must_use]
    pub fn validate_reach(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        check_routes(self, &mut findings);
        check_models(self, &mut findings);
        check_data_centres(self, &mut findings);
        check_classes(self, &mut findings);
        findings
    }
}

fn check_routes(document: &Document, findings: &mut Vec<Finding>) {
    for (prefix, route) in &document.routes {
        let place = format!("route {prefix}");
        if prefix.contains(['?', '#']) {
            let text = "matches no request: paths end before ? and #; remove them";
            findings.push(Finding::warning(place.clone(), text));
        }
        check_served(document, &place, &route.upstream, findings);
        let class = route.class.as_ref().and_then(|class| document.classes.get(class));
        let kind = document.upstreams.get(&route.upstream).map(|upstream| upstream.kind);
        if kind == Some(UpstreamKind::Service)
            && class.is_some_and(|class| matches!(class.target, Target::Stream { .. }))
        {
            let text = "its class has a target between tokens, but a plain service sends none; \
                        name a class with whole-answer";
            findings.push(Finding::warning(format!("{place}: class"), text));
        }
    }
}

fn check_models(document: &Document, findings: &mut Vec<Finding>) {
    for (name, model) in &document.models {
        check_served(document, &format!("model {name}"), &model.upstream, findings);
    }
}

/// Adds a warning if no runner of an upstream gets requests. One without any runner has a
/// finding of its own.
fn check_served(
    document: &Document,
    place: &str,
    upstream: &UpstreamName,
    findings: &mut Vec<Finding>,
) {
    let is_leaving = |upstream: &Upstream| {
        !upstream.runners.is_empty() && upstream.runners.values().all(|runner| runner.leaving)
    };
    if document.upstreams.get(upstream).is_some_and(is_leaving) {
        let text = format!("all runners of {upstream} are leaving; add one that stays");
        findings.push(Finding::warning(format!("{place}: upstream"), text));
    }
}

fn check_data_centres(document: &Document, findings: &mut Vec<Finding>) {
    for name in document.data_centres.keys() {
        let mut runners = document.upstreams.values().flat_map(|u| u.runners.values());
        if !runners.any(|runner| runner.data_centre == *name) {
            let text = "has no runners; remove it, or name it in a runner";
            findings.push(Finding::warning(format!("data-centre {name}"), text));
        }
    }
}

fn check_classes(document: &Document, findings: &mut Vec<Finding>) {
    for (name, class) in &document.classes {
        if !class.idempotent && class.cancellable {
            let text = "a request that must run at most once is cancelled when its caller \
                        disconnects, and can't be sent again; unset cancellable";
            findings.push(Finding::warning(format!("class {name}: cancellable"), text));
        }
    }
}

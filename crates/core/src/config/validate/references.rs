//! Checks of references between elements, path prefixes and runner addresses.

use std::{collections::BTreeMap, fmt};

use crate::config::{Document, Finding, UpstreamKind};

pub(super) fn check(document: &Document, findings: &mut Vec<Finding>) {
    check_models(document, findings);
    check_routes(document, findings);
    check_runners(document, findings);
}

fn check_models(document: &Document, findings: &mut Vec<Finding>) {
    for (name, model) in &document.models {
        let place = format!("model {name}: upstream");
        match document.upstreams.get(&model.upstream) {
            None => findings.push(unknown_reference(place, &model.upstream)),
            Some(upstream) if upstream.kind == UpstreamKind::Service => {
                let text = format!("{} is a plain service; name an engine", model.upstream);
                findings.push(Finding::error(place, text));
            }
            Some(_) => {}
        }
    }
}

fn check_routes(document: &Document, findings: &mut Vec<Finding>) {
    for (prefix, route) in &document.routes {
        if !prefix.starts_with('/') {
            let text = "the path prefix must start with /";
            findings.push(Finding::error(format!("route {prefix}"), text));
        }
        if !prefix.chars().all(|c| c.is_ascii_graphic() && !"[]".contains(c)) {
            let text = "the path prefix must be visible ASCII without [ and ]; percent-encode it";
            findings.push(Finding::error(format!("route {}", prefix.escape_debug()), text));
        }
        if !document.upstreams.contains_key(&route.upstream) {
            findings.push(unknown_reference(format!("route {prefix}: upstream"), &route.upstream));
        }
        if let Some(class) = route.class.as_ref().filter(|c| !document.classes.contains_key(c)) {
            findings.push(unknown_reference(format!("route {prefix}: class"), class));
        }
    }
}

fn check_runners(document: &Document, findings: &mut Vec<Finding>) {
    let mut addresses = BTreeMap::new();
    for (name, upstream) in &document.upstreams {
        if upstream.runners.is_empty() {
            let text = "has no runners; add one with: comfreyway runner set";
            findings.push(Finding::warning(format!("upstream {name}"), text));
        }
        for (runner, spec) in &upstream.runners {
            let place = format!("runner {name} {runner}");
            if !document.data_centres.contains_key(&spec.data_centre) {
                findings
                    .push(unknown_reference(format!("{place}: data-centre"), &spec.data_centre));
            }
            if let Some(other) = addresses.insert(spec.address, place.clone()) {
                let text = format!("{} is also the address of {other}", spec.address);
                findings.push(Finding::error(format!("{place}: address"), text));
            }
        }
    }
}

fn unknown_reference<T>(place: String, name: &T) -> Finding
where
    T: fmt::Display,
{
    Finding::error(place, format!("{name} is not configured; add it first or name another"))
}

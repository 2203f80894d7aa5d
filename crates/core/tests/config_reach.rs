//! Elements that no request can reach, and contradicting limits.

#![allow(clippy::unwrap_used)]

use comfreyway_core::config::{Document, Severity};
use comfreyway_core::{
    config::{Class, DataCentre, Model, Route, Runner, Upstream, UpstreamKind, UpstreamSpec},
    ids::Tier,
    request::Target,
};
use rstest::rstest;
use std::time::Duration;

/// A configuration without findings.
fn document() -> Document {
    let mut document = Document::default();
    let spec = |kind| UpstreamSpec { kind, checks_fencing: false, resumes: false };
    for (name, kind, port) in
        [("llm", UpstreamKind::Engine, 1), ("portal", UpstreamKind::Service, 2)]
    {
        let mut upstream = Upstream::from(spec(kind));
        let address = ([10, 0, 0, 1], port).into();
        let runner = Runner { address, data_centre: "medeu".parse().unwrap(), leaving: false };
        upstream.runners.insert("r1".parse().unwrap(), runner);
        document.upstreams.insert(name.parse().unwrap(), upstream);
    }
    let medeu = DataCentre { region: "almaty".parse().unwrap() };
    document.data_centres.insert("medeu".parse().unwrap(), medeu);
    let model = Model { upstream: "llm".parse().unwrap() };
    document.models.insert("m".parse().unwrap(), model);
    let route = Route { upstream: "portal".parse().unwrap(), class: None };
    document.routes.insert("/status/".to_owned(), route);
    let target = Target::Whole(Duration::from_secs(2));
    let class = Class { tier: Tier(0), target, idempotent: true, cancellable: false };
    document.classes.insert("lookup".parse().unwrap(), class);
    document
}

#[test]
fn a_sound_configuration_has_no_findings() {
    assert_eq!(document().validate_reach(), []);
}

#[rstest]
#[case::query_in_prefix("route /a?b", |d: &mut Document| {
    let route = d.routes["/status/"].clone();
    d.routes.insert("/a?b".to_owned(), route);
})]
#[case::all_runners_leave("model m: upstream", |d: &mut Document| {
    let upstream = d.upstreams.values_mut().next().unwrap();
    upstream.runners.values_mut().for_each(|runner| runner.leaving = true);
})]
#[case::data_centre_without_runners("data-centre alatau", |d: &mut Document| {
    let region = "almaty".parse().unwrap();
    d.data_centres.insert("alatau".parse().unwrap(), DataCentre { region });
})]
#[case::token_target_of_a_service("route /status/: class", |d: &mut Document| {
    let class = d.classes.values_mut().next().unwrap();
    let time = Duration::from_millis(80);
    class.target = Target::Stream { first_token: time, between_tokens: time };
    d.routes.values_mut().next().unwrap().class = Some("lookup".parse().unwrap());
})]
#[case::cancelled_and_not_repeated("class lookup: cancellable", |d: &mut Document| {
    let class = d.classes.values_mut().next().unwrap();
    (class.idempotent, class.cancellable) = (false, true);
})]
fn each_fault_is_found_where_it_is(#[case] place: &str, #[case] spoil: fn(&mut Document)) {
    let mut document = document();
    spoil(&mut document);
    let findings = document.validate_reach();
    let places: Vec<_> = findings.iter().map(|finding| finding.place.as_str()).collect();
    assert_eq!(places, [place]);
    assert_eq!(findings[0].severity, Severity::Warning);
}

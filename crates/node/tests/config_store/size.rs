//! The planned size: 860 workspaces, 2,200 runners, 6 models.

use std::rc::Rc;

use comfreyway_core::config::{
    ChangeOutcome, DataCentre, Edit, Element, Model, Runner, UpstreamKind, UpstreamSpec, Workspace,
};
use comfreyway_node::config::{ConfigActor, NoPeers};
use comfreyway_platform::{EmbeddedKeyValue, KeyValue};

use crate::{
    faults::{Fault, FaultyKeyValue},
    hosts::{change, class, name, wait_for},
};

/// Largest value of the key-value service, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Calls of a host that starts: it reads the head and the snapshot.
const FRESH_CALLS: u32 = 2;

fn planned_fleet() -> Vec<Edit> {
    let data_centre = DataCentre { region: "hobart".parse().unwrap() };
    let mut elements = vec![Element::DataCentre("derwent-a".parse().unwrap(), data_centre)];
    for i in 0..860 {
        let note = format!("customer number {i} of the planned size");
        let workspace = format!("workspace-{i}").parse().unwrap();
        elements.push(Element::Workspace(workspace, Workspace { note }));
    }
    for i in 0..6 {
        let upstream = format!("upstream-{i}").parse().unwrap();
        let spec = UpstreamSpec { kind: UpstreamKind::Engine, checks_fencing: true, resumes: true };
        elements.push(Element::Upstream(upstream, spec));
        let upstream = format!("upstream-{i}").parse().unwrap();
        elements.push(Element::Model(format!("model-{i}").parse().unwrap(), Model { upstream }));
    }
    for i in 0..2_200_u32 {
        let runner = Runner {
            address: ([10, 0, (i / 200) as u8, (i % 200) as u8], 9_000).into(),
            data_centre: "derwent-a".parse().unwrap(),
            leaving: false,
        };
        let upstream = format!("upstream-{}", i % 6).parse().unwrap();
        elements.push(Element::Runner(upstream, format!("runner-{i}").parse().unwrap(), runner));
    }
    elements.into_iter().map(Edit::Set).collect()
}

#[actix_rt::test]
async fn the_planned_fleet_fits_and_a_fresh_host_reads_it_in_two_calls() {
    let kv = EmbeddedKeyValue::new();
    let host = ConfigActor::start_on_control(name(0), Rc::new(kv.clone()), Rc::new(NoPeers));
    let outcome = host.change(change(0, 1, planned_fleet())).await;
    assert!(matches!(outcome, ChangeOutcome::Accepted { version: 1, .. }), "{outcome:?}");
    for i in 1..70 {
        let outcome = host.change(change(i, i, vec![class("quote", (i % 2) as u8)])).await;
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }), "{outcome:?}");
    }
    let largest = kv.list("").await.unwrap().into_iter().map(|v| v.value.len()).max().unwrap();
    println!("largest stored value: {largest} bytes");
    assert!(largest < MAX_VALUE_BYTES);
    let limited = FaultyKeyValue::new(&kv, Fault::Refused, FRESH_CALLS, u32::MAX);
    let fresh = ConfigActor::start_on_control(name(1), Rc::new(limited), Rc::new(NoPeers));
    wait_for(&fresh, 70).await;
    assert_eq!(fresh.accepted(), host.accepted());
}

//! Writes a configuration to the key-value service before any daemon starts.

use std::rc::Rc;

use comfreyway_core::config::{Change, ChangeId, ChangeOutcome, Edit};
use comfreyway_node::config::{ConfigActor, NoPeers};
use comfreyway_proto::ini;
use comfreyway_testkit::store::StoreStandIn;

use super::Fixture;

/// Writes the configuration as version 1.
pub(crate) async fn seed(kv: &StoreStandIn, fixture: &Fixture) {
    let document = ini::read(&fixture.text()).unwrap();
    let edits = document.elements().map(Edit::Set).collect();
    let (id, author) = (ChangeId::new(0, 1), "aigul".parse().unwrap());
    let store = Rc::new(kv.keys().clone());
    let host = "operator".parse().unwrap();
    let writer = ConfigActor::start_on_control(host, store, Rc::new(NoPeers));
    let outcome = writer.change(Change { id, author, edits }).await;
    assert!(matches!(outcome, ChangeOutcome::Accepted { version: 1, .. }), "{outcome:?}");
    writer.stop();
}

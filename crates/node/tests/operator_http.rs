//! The operators' interface: secret, changes, history, status, stop and page.

#![allow(clippy::unwrap_used)]

use std::{rc::Rc, sync::Arc, time::Duration};

use actix_web::{
    App,
    test::{TestRequest, call_service, init_service, read_body, read_body_json},
    web::Data,
};
use comfreyway_core::{
    config::{Change, ChangeId, Class, Edit, Element},
    ids::{HostId, HostName, Tier},
    request::Target,
};
use comfreyway_node::{
    config::{ConfigActor, NoPeers},
    control::{ControlHandle, ControlStatus, WorkerMessage},
    operator::{OperatorState, configure},
    settings::Secret,
};
use comfreyway_platform::EmbeddedKeyValue;
use comfreyway_proto::{
    headers,
    operator::{
        ChangeOutcomeName, ChangeReport, ChangeRequest, ChangeState, ChangeStateName, ConfigExport,
        HistoryReport, HostPhase, StatusReport,
    },
};
use rstest::rstest;
use tokio::sync::mpsc::unbounded_channel;

const SECRET: &str = "a long random text";

fn host() -> HostName {
    "entry-1".parse().unwrap()
}

/// A control thread that replies to status calls only.
fn control() -> ControlHandle {
    let (tx, mut rx) = unbounded_channel();
    actix_rt::spawn(async move {
        while let Some(message) = rx.recv().await {
            if let WorkerMessage::Status(reply) = message {
                let host = HostId { name: host(), incarnation: 1 };
                let status = ControlStatus {
                    host,
                    config_version: 0,
                    waiting: 3,
                    in_progress: 4,
                    owned: Vec::new(),
                };
                let _ = reply.send(status);
            }
        }
    });
    ControlHandle::new(tx)
}

async fn state() -> Data<OperatorState> {
    let kv = Rc::new(EmbeddedKeyValue::new());
    let config = ConfigActor::start_on_control(host(), kv, Rc::new(NoPeers));
    let mut ready = config.ready();
    ready.wait_for(|ready| *ready).await.unwrap();
    let phase = Arc::new(|| HostPhase::Ready);
    let state = OperatorState::new(host(), config, control(), phase);
    Data::new(state.with_secret(Some(Secret::new(SECRET))))
}

fn set_class(base: u64, nonce: u64, tier: u8) -> ChangeRequest {
    let target = Target::Whole(Duration::from_secs(1));
    let class = Class { tier: Tier(tier), target, idempotent: false, cancellable: true };
    let edits = vec![Edit::Set(Element::Class("quote".parse().unwrap(), class))];
    let id = ChangeId::new(base, nonce);
    let change = Change { id, author: "aigul".parse().unwrap(), edits };
    ChangeRequest { change, dry_run: false }
}

fn get(path: &str) -> TestRequest {
    TestRequest::get().uri(path).insert_header((headers::SECRET, SECRET))
}

fn post(path: &str) -> TestRequest {
    TestRequest::post().uri(path).insert_header((headers::SECRET, SECRET))
}

#[rstest]
#[case::missing(None)]
#[case::wrong(Some("a guess"))]
#[actix_rt::test]
async fn a_call_without_the_secret_is_refused(#[case] secret: Option<&str>) {
    let app = init_service(App::new().configure(configure(state().await))).await;
    for path in ["/v1/status", "/v1/config", "/v1/config/history", "/v1/changes/0-1"] {
        let mut request = TestRequest::get().uri(path);
        if let Some(secret) = secret {
            request = request.insert_header((headers::SECRET, secret));
        }
        assert_eq!(call_service(&app, request.to_request()).await.status(), 401, "{path}");
    }
}

#[actix_rt::test]
async fn a_repeated_change_is_accepted_once_and_can_be_read_back() {
    let app = init_service(App::new().configure(configure(state().await))).await;
    let request = set_class(0, 1, 0);
    for _ in 0..2 {
        let response =
            call_service(&app, post("/v1/changes").set_json(&request).to_request()).await;
        assert_eq!(response.status(), 200);
        let report: ChangeReport = read_body_json(response).await;
        assert_eq!(report.outcome, ChangeOutcomeName::Accepted);
        assert_eq!(report.version, Some(1));
    }
    let uri = format!("/v1/changes/{}", request.change.id);
    let response = call_service(&app, get(&uri).to_request()).await;
    let shown: ChangeState = read_body_json(response).await;
    assert_eq!(shown.state, ChangeStateName::Accepted);
    let response = call_service(&app, get("/v1/config/history").to_request()).await;
    let history: HistoryReport = read_body_json(response).await;
    assert_eq!(history.changes.len(), 1);
    let response = call_service(&app, get("/v1/config").to_request()).await;
    let export: ConfigExport = read_body_json(response).await;
    assert_eq!(export.document.classes.len(), 1);
}

#[rstest]
#[case::conflict(set_class(0, 2, 1), 409, ChangeOutcomeName::Conflict)]
#[case::invalid(set_class(1, 3, 200), 422, ChangeOutcomeName::Refused)]
#[case::future(set_class(9, 4, 1), 422, ChangeOutcomeName::Refused)]
#[case::dry_run(ChangeRequest { dry_run: true, ..set_class(1, 5, 1) }, 200, ChangeOutcomeName::Checked)]
#[actix_rt::test]
async fn a_change_that_is_not_accepted_changes_nothing(
    #[case] request: ChangeRequest,
    #[case] status: u16,
    #[case] outcome: ChangeOutcomeName,
) {
    let app = init_service(App::new().configure(configure(state().await))).await;
    let first = set_class(0, 1, 0);
    call_service(&app, post("/v1/changes").set_json(&first).to_request()).await;
    let response = call_service(&app, post("/v1/changes").set_json(&request).to_request()).await;
    assert_eq!(response.status(), status);
    let report: ChangeReport = read_body_json(response).await;
    assert_eq!(report.outcome, outcome);
    let response = call_service(&app, get("/v1/config").to_request()).await;
    let export: ConfigExport = read_body_json(response).await;
    assert_eq!(export.version, 1);
}

#[actix_rt::test]
async fn status_reports_load_version_and_classes_and_no_secret() {
    let app = init_service(App::new().configure(configure(state().await))).await;
    call_service(&app, post("/v1/changes").set_json(set_class(0, 1, 0)).to_request()).await;
    let response = call_service(&app, get("/v1/status").to_request()).await;
    let body = read_body(response).await;
    assert!(!String::from_utf8_lossy(&body).contains(SECRET));
    let status: StatusReport = serde_json::from_slice(&body).unwrap();
    assert_eq!((status.waiting, status.in_progress), (3, 4));
    assert_eq!(status.config.version, 1);
    assert!(status.config.store_reachable);
    assert_eq!(status.classes[0].whole_answer_ms, Some(1_000.0));
}

#[actix_rt::test]
async fn a_stop_call_requests_the_stop() {
    let state = state().await;
    let stop = state.stop_requests();
    let app = init_service(App::new().configure(configure(state))).await;
    let response = call_service(&app, post("/v1/stop").to_request()).await;
    assert_eq!(response.status(), 202);
    stop.notified().await;
}

#[actix_rt::test]
async fn the_page_needs_no_secret_and_loads_nothing_from_elsewhere() {
    let app = init_service(App::new().configure(configure(state().await))).await;
    let response = call_service(&app, TestRequest::get().uri("/").to_request()).await;
    assert_eq!(response.status(), 200);
    let page = read_body(response).await;
    let page = String::from_utf8_lossy(&page);
    assert!(page.contains("/v1/status"));
    assert!(!page.contains("http://") && !page.contains("https://"));
}

//! The control actor of a single host, called as a worker calls it.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use actix::Actor;
use comfreyway_core::{
    config::{DataCentre, Document, Runner, Upstream, UpstreamKind},
    ids::{HostId, PoolId, RequestId, Tier},
    outcome::{NotRunReason, RetryReason},
    request::{DispatchEnd, Target, Usage},
};
use comfreyway_node::control::{ControlActor, ControlHandle, Decision, Progress, Submission};
use tokio::sync::{
    mpsc::{UnboundedReceiver, unbounded_channel},
    watch,
};

fn document() -> Document {
    let runner = Runner {
        address: "127.0.0.1:9000".parse().unwrap(),
        data_centre: "medeu".parse().unwrap(),
        leaving: false,
    };
    let upstream = Upstream {
        kind: UpstreamKind::Engine,
        checks_fencing: false,
        resumes: false,
        runners: [("r1".parse().unwrap(), runner)].into(),
    };
    Document {
        version: 3,
        data_centres: [(
            "medeu".parse().unwrap(),
            DataCentre { region: "almaty".parse().unwrap() },
        )]
        .into(),
        upstreams: [("dala-llm".parse().unwrap(), upstream)].into(),
        ..Document::default()
    }
}

fn start(document: Document) -> (ControlHandle, watch::Sender<Arc<Document>>) {
    let (tx, rx) = unbounded_channel();
    let (config_tx, config_rx) = watch::channel(Arc::new(document));
    let host = HostId { name: "h1".parse().unwrap(), incarnation: 1 };
    ControlActor::new(host, config_rx, rx).start();
    (ControlHandle::new(tx), config_tx)
}

fn submit(control: &ControlHandle, id: u128, target: Duration) -> UnboundedReceiver<Decision> {
    let (decisions, rx) = unbounded_channel();
    let submission = Submission {
        id: RequestId::new(id),
        pool: PoolId { upstream: "dala-llm".parse().unwrap(), region: "almaty".parse().unwrap() },
        workspace: "acme".parse().unwrap(),
        class: "summary".parse().unwrap(),
        tier: Tier(0),
        target: Target::Whole(target),
        idempotent: true,
        key: None,
        prefill_tokens: 10,
        max_decode_tokens: None,
        prefix: Vec::new(),
        body_bytes: 40,
        decisions,
    };
    control.submit(submission).unwrap();
    rx
}

#[actix_rt::test]
async fn dispatches_a_request_and_counts_it_until_it_ends() {
    let (control, _config) = start(document());
    let mut decisions = submit(&control, 1, Duration::from_secs(60));
    let decision = decisions.recv().await.unwrap();
    assert!(matches!(decision, Decision::Dispatch { ref runner, .. } if runner.as_str() == "r1"));
    assert_eq!(control.status().await.unwrap().in_progress, 1);

    let end = DispatchEnd::Complete(Usage::default());
    control.report(RequestId::new(1), Progress::Ended(end)).unwrap();
    let status = control.status().await.unwrap();
    assert_eq!((status.in_progress, status.owned[0].in_progress), (0, 0));
}

#[actix_rt::test]
async fn dispatches_again_after_a_refused_connection() {
    let (control, _config) = start(document());
    let mut decisions = submit(&control, 1, Duration::from_secs(60));
    decisions.recv().await.unwrap();
    let not_sent = Progress::NotSent(RetryReason::ConnectRefused);
    control.report(RequestId::new(1), not_sent).unwrap();
    assert!(matches!(decisions.recv().await.unwrap(), Decision::Dispatch { .. }));
}

#[actix_rt::test]
async fn refuses_when_the_target_has_passed() {
    let (control, _config) = start(document());
    let mut decisions = submit(&control, 1, Duration::ZERO);
    let decision = decisions.recv().await.unwrap();
    let reason = NotRunReason::TargetUnreachable;
    assert!(matches!(decision, Decision::NotRun { reason: r, .. } if r == reason));
}

#[actix_rt::test]
async fn applies_a_new_configuration() {
    let (control, config) = start(Document::default());
    assert!(control.status().await.unwrap().owned.is_empty());
    config.send(Arc::new(document())).unwrap();
    while control.status().await.unwrap().config_version != 3 {
        tokio::task::yield_now().await;
    }
    assert_eq!(control.status().await.unwrap().owned.len(), 1);
}

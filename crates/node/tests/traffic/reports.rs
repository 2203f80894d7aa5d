//! What a worker reports about a request to the control thread.

use comfreyway_core::{
    ids::Epoch,
    request::{DispatchEnd, Usage},
};
use comfreyway_node::control::{Decision, Progress, WorkerMessage};
use rstest::rstest;

use crate::{
    harness::{Harness, chat},
    scripted_upstream::{AfterResponse, ScriptedResponse, ScriptedUpstream},
};

const COUNTS: &str = "{\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":8,\
    \"prompt_tokens_details\":{\"cached_tokens\":4}}}";

/// Returns the reports about one request whose response is `scripted`.
async fn reports(scripted: ScriptedResponse, stream: bool) -> Vec<Progress> {
    let upstream = ScriptedUpstream::start(vec![scripted]).await;
    let (harness, mut queue) = Harness::without_control(upstream.address, false);
    let request = chat(&[], stream);
    let response = actix_rt::spawn(async move { harness.send(&request).await });
    let mut reports = Vec::new();
    loop {
        match queue.recv().await.unwrap() {
            WorkerMessage::Submit(submission) => {
                let runner = "r1".parse().unwrap();
                let (address, epoch) = (upstream.address, Epoch::default());
                let decision = Decision::Dispatch { runner, address, epoch };
                submission.decisions.send(decision).unwrap();
            }
            WorkerMessage::Progress { progress, .. } => {
                let last = matches!(progress, Progress::Ended(_));
                reports.push(progress);
                if last {
                    response.await.unwrap();
                    return reports;
                }
            }
            WorkerMessage::Status(_) | WorkerMessage::Stop => {}
        }
    }
}

fn usage(end: &Progress) -> Usage {
    match end {
        Progress::Ended(DispatchEnd::Complete(usage)) => *usage,
        other => panic!("{other:?}"),
    }
}

#[actix_rt::test]
async fn stream_reports_its_first_token_once_and_its_counts() {
    let counts = format!("data: {COUNTS}\n\n");
    let chunks = ["data: {\"n\":1}\n\n", "data: {\"n\":2}\n\n", &counts, "data: [DONE]\n\n"];
    let reports = reports(ScriptedResponse::events(&chunks, true, AfterResponse::Keep), true).await;
    assert_eq!(reports.len(), 2, "{reports:?}");
    assert_eq!(reports[0], Progress::FirstToken);
    let usage = usage(&reports[1]);
    assert_eq!((usage.prefill_tokens, usage.cached_tokens, usage.decode_tokens), (9, 4, 8));
    assert!(usage.first_token <= usage.total);
}

#[actix_rt::test]
async fn stream_without_counts_reports_its_events() {
    let chunks = ["data: {\"n\":1}\n\n", "data: {\"n\":2}\n\ndata: {\"n\":3}\n\ndata: [DONE]\n\n"];
    let reports = reports(ScriptedResponse::events(&chunks, true, AfterResponse::Keep), true).await;
    assert_eq!(usage(&reports[1]).decode_tokens, 3);
}

#[actix_rt::test]
async fn whole_response_reports_no_first_token() {
    let reports = reports(ScriptedResponse::json(COUNTS), false).await;
    assert_eq!(reports.len(), 1, "{reports:?}");
    let usage = usage(&reports[0]);
    assert_eq!(usage.first_token, usage.total);
    assert_eq!(usage.decode_tokens, 8);
}

#[rstest]
#[case::overloaded("503 Service Unavailable", true)]
#[case::internal_error("500 Internal Server Error", false)]
#[actix_rt::test]
async fn only_an_overloaded_upstream_counts_as_failed(#[case] status: &str, #[case] failed: bool) {
    let scripted = format!("HTTP/1.1 {status}\ncontent-length: 2\n\nno");
    let reports = reports(ScriptedResponse::new(&scripted, AfterResponse::Keep), false).await;
    assert_eq!(reports == [Progress::Ended(DispatchEnd::Failed)], failed, "{reports:?}");
}

//! The gateway's messages against texts as the real service writes them.

use comfreyway_platform::etcd::wire::{
    Base64, Compare, DeleteRangeRequest, Event, EventKind, Int64, LeaseResponse, PutRequest,
    RangeRequest, RangeResponse, RequestOp, ResponseOp, Streamed, TxnRequest, TxnResponse,
    WatchResponse, prefix_end,
};
use rstest::rstest;

#[test]
fn range_response_is_read() {
    let text = r#"{"header":{"cluster_id":"14841639068965178418","member_id":"102766",
        "revision":"7","raft_term":"2"},"kvs":[{"key":"Zm9v","create_revision":"2",
        "mod_revision":"5","version":"1","value":"YmFy"}],"count":"1"}"#;
    let res: RangeResponse = serde_json::from_str(text).unwrap();
    assert_eq!(res.header.revision, Int64(7));
    assert_eq!(res.kvs[0].key, "foo".into());
    assert_eq!(res.kvs[0].value, "bar".into());
    assert_eq!(res.kvs[0].mod_revision, Int64(5));
}

#[test]
fn empty_range_response_is_read() {
    let res: RangeResponse = serde_json::from_str(r#"{"header":{"revision":"7"}}"#).unwrap();
    assert!(res.kvs.is_empty());
}

#[test]
fn txn_request_is_written_as_the_gateway_reads_it() {
    let compare = Compare {
        key: "foo".into(),
        target: "MOD".to_owned(),
        result: "EQUAL".to_owned(),
        mod_revision: Int64(4),
    };
    let put = PutRequest { key: "foo".into(), value: "bar".into(), lease: Int64(9) };
    let read = RangeRequest { key: "foo".into(), range_end: Base64::default() };
    let req = TxnRequest {
        compare: vec![compare],
        success: vec![RequestOp::RequestPut(put)],
        failure: vec![RequestOp::RequestRange(read)],
    };
    let expected = serde_json::json!({
        "compare": [{"key": "Zm9v", "target": "MOD", "result": "EQUAL", "mod_revision": "4"}],
        "success": [{"request_put": {"key": "Zm9v", "value": "YmFy", "lease": "9"}}],
        "failure": [{"request_range": {"key": "Zm9v"}}],
    });
    assert_eq!(serde_json::to_value(&req).unwrap(), expected);
    let delete = RequestOp::RequestDeleteRange(DeleteRangeRequest { key: "foo".into() });
    let expected = serde_json::json!({"request_delete_range": {"key": "Zm9v"}});
    assert_eq!(serde_json::to_value(&delete).unwrap(), expected);
}

#[test]
fn txn_response_is_read() {
    let text = r#"{"header":{"revision":"8"},"succeeded":true,
        "responses":[{"response_put":{"header":{"revision":"8"}}}]}"#;
    let res: TxnResponse = serde_json::from_str(text).unwrap();
    assert!(res.succeeded);
    assert!(matches!(res.responses[..], [ResponseOp::ResponsePut(_)]));
    let text = r#"{"header":{"revision":"8"},
        "responses":[{"response_range":{"header":{"revision":"8"}}}]}"#;
    let res: TxnResponse = serde_json::from_str(text).unwrap();
    assert!(!res.succeeded);
}

#[test]
fn streamed_messages_are_read() {
    let text = r#"{"result":{"header":{"revision":"8"},"ID":"7587","TTL":"10"}}"#;
    let Streamed::Result(res) = serde_json::from_str::<Streamed<LeaseResponse>>(text).unwrap()
    else {
        panic!("no result");
    };
    assert_eq!((res.id, res.ttl), (Int64(7587), Int64(10)));
    let text = r#"{"result":{"header":{"revision":"8"},"events":[
        {"kv":{"key":"Zm9v","mod_revision":"8","value":"YmFy"}},
        {"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"9"}}]}}"#;
    let Streamed::Result(res) = serde_json::from_str::<Streamed<WatchResponse>>(text).unwrap()
    else {
        panic!("no result");
    };
    let kinds: Vec<_> = res.events.iter().map(|event: &Event| event.kind).collect();
    assert_eq!(kinds, [EventKind::Put, EventKind::Delete]);
}

#[rstest]
#[case("a", b"b")]
#[case("conf/", b"conf0")]
#[case("", b"\0")]
fn prefix_ends_after_its_last_key(#[case] prefix: &str, #[case] end: &[u8]) {
    assert_eq!(prefix_end(prefix), end);
}

//! Identity of requests that ask for the same.

use comfreyway_core::{
    fleet::{RequestContent, RequestDigest},
    ids::WorkspaceName,
};
use rstest::rstest;

const CONTENT: RequestContent<'static> = RequestContent {
    workspace: None,
    method: "POST",
    host: "desk.example",
    target: "/lookup/7?full=1",
    body: b"question",
};

#[rstest]
#[case::method(RequestContent { method: "PUT", ..CONTENT })]
#[case::host(RequestContent { host: "desk.examplf", ..CONTENT })]
#[case::query(RequestContent { target: "/lookup/7?full=2", ..CONTENT })]
#[case::body(RequestContent { body: b"question?", ..CONTENT })]
#[case::no_body(RequestContent { body: b"", ..CONTENT })]
#[case::shifted_boundary(RequestContent { target: "/lookup/7?full=1q", body: b"uestion", ..CONTENT })]
fn requests_that_differ_have_other_digests(#[case] content: RequestContent<'_>) {
    assert_ne!(RequestDigest::new(&content), RequestDigest::new(&CONTENT));
}

#[test]
fn a_workspace_has_digests_of_its_own() {
    let workspace = |name: &str| name.parse::<WorkspaceName>().unwrap();
    let (desk, public) = (workspace("desk"), workspace("public"));
    let of = |workspace| RequestDigest::new(&RequestContent { workspace, ..CONTENT });
    assert_ne!(of(Some(&desk)), of(None));
    assert_ne!(of(Some(&desk)), of(Some(&public)));
    assert_ne!(of(Some(&public)), of(None));
}

// Hosts of several builds, and items of the store, name requests by their digests.
#[test]
fn the_digest_of_a_request_never_changes() {
    let digest = RequestDigest::new(&CONTENT);
    assert_eq!(digest.to_string(), "d746593e2ac628579abd2bd13a6d3776");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert!("bad0".parse::<RequestDigest>().is_err());
}

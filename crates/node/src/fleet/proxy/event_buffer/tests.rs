//! Only complete events are returned, and none twice.

use rstest::rstest;

use super::*;

#[test]
fn partial_events_are_held_back() {
    let mut events = EventBuffer::default();
    assert_eq!(events.push(b"id: 1\ndata: a\n"), "");
    assert_eq!(events.push(b"\nid: 2\ndata"), "id: 1\ndata: a\n\n");
    assert_eq!(events.last_id(), Some(1));
    assert_eq!(events.take_remaining(), "id: 2\ndata");
}

#[test]
fn a_resumed_stream_repeats_no_event() {
    let mut events = EventBuffer::default();
    events.push(b"id: 1\n\nid: 2\n\nid: 3");
    events.restart();
    assert_eq!(events.push(b"id: 2\n\nid: 3\n\n"), "id: 3\n\n");
    assert_eq!(events.events(), 3);
}

#[test]
fn event_ends_are_found_across_chunks_for_lf_and_crlf() {
    let mut events = EventBuffer::default();
    assert_eq!(events.push(b"id: 7\r\n\r"), "");
    assert_eq!(events.push(b"\nid: 8"), "id: 7\r\n\r\n");
    assert_eq!(events.last_id(), Some(7));
}

#[test]
fn events_end_at_an_empty_line_of_any_line_end() {
    let mut events = EventBuffer::default();
    assert_eq!(
        events.push(b"id: 1\rdata: a\r\rid: 2\r\ndata: b\n\r\n"),
        "id: 1\rdata: a\r\rid: 2\r\ndata: b\n\r\n"
    );
    assert_eq!((events.last_id(), events.events()), (Some(2), 2));
}

#[rstest]
#[case::nothing("", false)]
#[case::empty_lines("\r\n\n", false)]
#[case::comment(": keep-alive\n", false)]
#[case::partial_comment(": keep-", true)]
#[case::partial_line("da", true)]
#[case::line("data: a\n", true)]
#[case::line_after_a_comment(": keep-alive\nid: 4", true)]
fn rest_after_the_last_event_is_inside_an_event(#[case] rest: &str, #[case] expected: bool) {
    let mut events = EventBuffer::default();
    events.push(b"id: 3\ndata: c\n\n");
    events.push(rest.as_bytes());
    assert_eq!(events.is_inside_event(), expected);
}

#[rstest]
#[case::nothing("", true)]
#[case::numbered("id: 1\ndata: a\n\n", true)]
#[case::comment_after_numbered("id: 1\ndata: a\n\n: keep-alive\n\n", true)]
#[case::unnumbered("data: a\n\n", false)]
#[case::unnumbered_after_numbered("id: 1\ndata: a\n\ndata: b\n\n", false)]
#[case::numbered_after_unnumbered("data: a\n\nid: 1\ndata: b\n\n", true)]
fn stream_with_unnumbered_data_at_its_end_can_not_resume(
    #[case] stream: &str,
    #[case] expected: bool,
) {
    let mut events = EventBuffer::default();
    events.push(stream.as_bytes());
    assert_eq!(events.can_resume(), expected);
}

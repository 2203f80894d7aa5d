//! Whether the head of a response belongs to the attempt that it came for.
//!
//! Bytes that a runner sends without a request, such as a part of another response, may stand
//! before a response on a connection that is used again. The parser then reads one head
//! made of both: the id is that of the response, other lines are not.

use hyper::{HeaderMap, Response, body::Incoming, ext::ReasonPhrase, header::HeaderName};

/// Start of a status line, up to the minor version.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";

/// Bytes of a status line from its start to the end of the status.
const STATUS_LINE_BYTES: usize = STATUS_LINE_START.len() + "1 200".len();

/// Returns why a response can't be the one to a request with this id, if so.
pub(super) fn foreign_head(
    res: &Response<Incoming>,
    id_header: &HeaderName,
    id: &str,
) -> Option<&'static str> {
    let mut ids = res.headers().get_all(id_header).iter();
    let is_own = ids.next().is_some_and(|own| own.as_bytes() == id.as_bytes());
    if !is_own || ids.next().is_some() {
        return Some("the response belongs to another request");
    }
    let reason = res.extensions().get::<ReasonPhrase>();
    let is_joined = reason.is_some_and(|reason| holds_status_line(reason.as_bytes()));
    (is_joined || any_value_holds_status_line(res.headers()))
        .then_some("the response's head is made of two")
}

fn any_value_holds_status_line(headers: &HeaderMap) -> bool {
    headers.values().any(|value| holds_status_line(value.as_bytes()))
}

/// Returns true if a status line begins anywhere in this text.
fn holds_status_line(text: &[u8]) -> bool {
    text.windows(STATUS_LINE_BYTES).any(|window| {
        let rest = window.strip_prefix(STATUS_LINE_START);
        rest.is_some_and(|rest| {
            rest[0].is_ascii_digit() && rest[1] == b' ' && rest[2..].iter().all(u8::is_ascii_digit)
        })
    })
}

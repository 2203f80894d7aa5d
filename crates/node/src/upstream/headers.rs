//! Which headers pass through.

use std::collections::HashSet;

use actix_web::http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Headers of one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Start of the names of the scheduler's own headers.
const SCHEDULER_PREFIX: &str = "comfreyway-";

/// The headers that belong to the message and not to the connection. Those
/// that the `Connection` header names are left out as well.
pub(crate) fn end_to_end(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    let named = named_in_connection(headers);
    headers.iter().filter(move |(name, _)| {
        !HOP_BY_HOP.contains(&name.as_str()) && !named.contains(name.as_str())
    })
}

/// True for a header that only the scheduler sets.
pub(crate) fn is_scheduler_header(name: &HeaderName) -> bool {
    name.as_str().starts_with(SCHEDULER_PREFIX)
}

fn named_in_connection(headers: &HeaderMap) -> HashSet<String> {
    let values = headers.get_all(header::CONNECTION).filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}

//! Forwarding of headers.

use std::collections::HashSet;

use actix_web::http::header::{self, HeaderMap, HeaderName, HeaderValue};
use comfreyway_proto::headers;

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
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

/// Request headers that only the scheduler sets.
const RESERVED_REQUEST_HEADERS: [&str; 3] =
    [headers::FENCING, headers::REQUEST_ID, headers::SECRET];

/// Prefix of the response headers that only the scheduler sets.
const RESERVED_RESPONSE_PREFIX: &str = "comfreyway-";

/// Returns the end-to-end headers. Leaves out hop-by-hop headers and those
/// listed in the `Connection` header.
pub(crate) fn end_to_end(map: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    let named = connection_options(map);
    map.iter().filter(move |(name, _)| {
        !HOP_BY_HOP.contains(&name.as_str()) && !named.contains(name.as_str())
    })
}

/// Returns true for a request header that only the scheduler sets.
pub(crate) fn is_reserved_on_requests(name: &HeaderName) -> bool {
    RESERVED_REQUEST_HEADERS.contains(&name.as_str())
}

/// Returns true for a response header that only the scheduler sets.
pub(crate) fn is_reserved_on_responses(name: &HeaderName) -> bool {
    name.as_str().starts_with(RESERVED_RESPONSE_PREFIX)
}

fn connection_options(map: &HeaderMap) -> HashSet<String> {
    let values = map.get_all(header::CONNECTION).filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}

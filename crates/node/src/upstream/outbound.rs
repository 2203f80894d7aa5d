//! A request to be sent to an upstream.

use actix_web::http::{
    Method,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use bytes::Bytes;
use comfreyway_core::ids::RequestId;
use comfreyway_proto::headers::LAST_EVENT_ID;

/// A request to be sent to an upstream: the caller's request without hop-by-hop
/// headers and those reserved for the scheduler. Cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct OutboundRequest {
    /// Id of the request.
    pub(crate) id: RequestId,
    /// Method of the caller's request.
    pub(crate) method: Method,
    /// Path and query of the caller's request.
    pub(crate) path_and_query: String,
    /// End-to-end headers of the caller's request.
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    /// Body of the caller's request.
    pub(crate) body: Bytes,
}

impl OutboundRequest {
    /// Creates the request from what is forwarded of a caller's request.
    pub(crate) fn new(
        id: RequestId,
        method: Method,
        path_and_query: String,
        headers: &HeaderMap,
        body: Bytes,
        to_engine: bool,
    ) -> Self {
        // Only the scheduler may request a resume from an engine.
        let is_resume_header = |name: &HeaderName| to_engine && name.as_str() == LAST_EVENT_ID;
        let forwarded = super::end_to_end(headers)
            .filter(|(name, _)| *name != actix_web::http::header::CONTENT_LENGTH)
            .filter(|(name, _)| !super::is_reserved_on_requests(name) && !is_resume_header(name));
        let headers = forwarded.map(|(name, value)| (name.clone(), value.clone())).collect();
        Self { id, method, path_and_query, headers, body }
    }
}

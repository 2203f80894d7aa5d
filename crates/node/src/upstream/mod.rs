//! Client for upstreams.
//!
//! [`UpstreamClient`] sends a granted request and returns the response head
//! with the body as a stream. Two rules have priority over all others:
//!
//! - A request counts as not sent only if no connection was established. After
//!   any later failure it may have run ([`SendFailure::Unknown`]).
//! - A body counts as complete only if its end is proved ([`CompletionCheck`]):
//!   by its length, its last chunk, the end marker of a stream, or the end of
//!   its JSON text.

mod client;
mod completion;
mod connector;
mod event_scan;
mod headers;
mod json_scan;
mod media_type;
mod outbound;
mod status;
mod strict_stream;
mod usage;

pub(crate) use self::{
    client::{ResponseHead, SendFailure, UpstreamClient, UpstreamResponse},
    completion::{CompletionCheck, Framing},
    event_scan::EventScan,
    headers::{end_to_end, is_reserved_on_requests, is_reserved_on_responses},
    json_scan::JsonScan,
    media_type::{is_json, media_type},
    outbound::OutboundRequest,
    status::is_final_status,
    usage::ResponseUsage,
};

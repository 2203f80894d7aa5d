//! Requests to upstreams.
//!
//! [`UpstreamClient`] sends a request that was granted and returns the head of
//! the answer with its body as a stream. Two rules come before all others:
//!
//! - A request counts as not sent only if no connection was established. Any
//!   later failure means that it may have run ([`SendFailure::Unknown`]).
//! - A body counts as whole only if its end is proved ([`EndProof`]): by its
//!   length, by the end mark of a stream, or by being one whole JSON text.

mod client;
mod connector;
mod end_proof;
mod event_scan;
mod headers;
mod json_scan;
mod outbound;
mod strict_stream;
mod usage;

pub(crate) use self::{
    client::{AnswerHead, SendFailure, UpstreamAnswer, UpstreamClient},
    end_proof::{EndProof, Framing},
    event_scan::EventScan,
    headers::{end_to_end, is_set_on_answers, is_set_on_requests},
    outbound::Outbound,
    usage::AnswerUsage,
};

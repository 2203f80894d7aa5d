//! Resumes a response whose connection broke.

use std::time::Duration;

use actix_web::http::StatusCode;

use crate::upstream::{
    CompletionCheck, OutboundRequest, SendFailure, UpstreamClient, UpstreamResponse,
};

use super::exchange::Grant;

/// Maximum number of resumes of one response.
pub(super) const MAX_RESUMES: u32 = 5;

/// Delays before each attempt to resume.
const RESUME_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(500),
    Duration::from_secs(2),
];

/// Point from which a response is resumed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ResumePoint {
    /// Id of the last complete event; 0 to start from the beginning.
    pub(super) last_event_id: u64,
    /// Bytes of the resumed response that were already received.
    pub(super) skip_bytes: u64,
}

impl ResumePoint {
    /// Returns the point up to which a response was received, or `None` if the
    /// response can't be resumed.
    pub(super) fn new(completion: &CompletionCheck, received: u64) -> Option<Self> {
        match completion {
            CompletionCheck::EndMarker(scan) if scan.last_id() > 0 || scan.events() == 0 => {
                Some(Self {
                    last_event_id: scan.last_id(),
                    skip_bytes: scan.partial_bytes() as u64,
                })
            }
            CompletionCheck::EndMarker(_) => None,
            CompletionCheck::Length(_) | CompletionCheck::Json(..) => {
                Some(Self { last_event_id: 0, skip_bytes: received })
            }
            CompletionCheck::Empty | CompletionCheck::LastChunk(_) => None,
        }
    }
}

/// Requests the rest of a response from its runner. Returns `None` if that
/// fails.
pub(super) async fn resume(
    client: UpstreamClient,
    outbound: OutboundRequest,
    grant: Grant,
    after: u64,
) -> Option<UpstreamResponse> {
    for delay in RESUME_DELAYS {
        tokio::time::sleep(delay).await;
        match client.resume(&outbound, grant.address, grant.epoch, after).await {
            Ok(response) if response.head.status == StatusCode::OK => return Some(response),
            Ok(_) => return None,
            Err(SendFailure::NotSent(_) | SendFailure::Unknown(_)) => {}
        }
    }
    None
}

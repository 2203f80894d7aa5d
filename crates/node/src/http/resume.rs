//! Resumes a response whose connection broke.

use std::time::Duration;

use actix_web::http::StatusCode;

use crate::upstream::{EndProof, Outbound, SendFailure, UpstreamAnswer, UpstreamClient};

use super::exchange::Granted;

/// Maximum number of resumes of one response.
pub(super) const MAX_RESUMES: u32 = 5;

/// Delays before each attempt to resume.
const ATTEMPT_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(500),
    Duration::from_secs(2),
];

/// Point from which a response is resumed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ResumePoint {
    /// Id of the last complete event; 0 to start from the beginning.
    pub(super) after: u64,
    /// Bytes of the resumed response that were already received.
    pub(super) skip: u64,
}

impl ResumePoint {
    /// Returns the point up to which a response was received, or `None` if the
    /// response can't be resumed.
    pub(super) fn new(proof: &EndProof, received: u64) -> Option<Self> {
        match proof {
            EndProof::EndMark(scan) if scan.last_id() > 0 || scan.events() == 0 => {
                Some(Self { after: scan.last_id(), skip: scan.partial_bytes() as u64 })
            }
            EndProof::EndMark(_) => None,
            EndProof::Length(_) | EndProof::Json(..) => Some(Self { after: 0, skip: received }),
            EndProof::Empty | EndProof::LastChunk(_) => None,
        }
    }
}

/// Requests the rest of a response from its runner. Returns `None` if that
/// fails.
pub(super) async fn resume(
    client: UpstreamClient,
    outbound: Outbound,
    granted: Granted,
    after: u64,
) -> Option<UpstreamAnswer> {
    for delay in ATTEMPT_DELAYS {
        tokio::time::sleep(delay).await;
        match client.resume(&outbound, granted.address, granted.epoch, after).await {
            Ok(answer) if answer.head.status == StatusCode::OK => return Some(answer),
            Ok(_) => return None,
            Err(SendFailure::NotSent(_) | SendFailure::Unknown(_)) => {}
        }
    }
    None
}

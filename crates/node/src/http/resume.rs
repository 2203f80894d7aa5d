//! Continues an answer whose connection broke.

use std::time::Duration;

use actix_web::http::StatusCode;

use crate::upstream::{EndProof, Outbound, SendFailure, UpstreamAnswer, UpstreamClient};

use super::exchange::Granted;

/// Times that one answer is resumed at most.
pub(super) const MAX_RESUMES: u32 = 5;

/// Waits before the attempts of one resume.
const ATTEMPT_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(500),
    Duration::from_secs(2),
];

/// Where a broken answer goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ResumePoint {
    /// Number of the last event that arrived whole; 0 for the start.
    pub(super) after: u64,
    /// Bytes of the continuation that have arrived before.
    pub(super) skip: u64,
}

impl ResumePoint {
    /// The point up to which an answer has arrived, if one can be named.
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

/// Asks the runner for the rest. None if it can't be had.
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

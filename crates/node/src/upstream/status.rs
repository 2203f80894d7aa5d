//! Statuses of responses.

use std::ops::Range;

/// Statuses of final responses (RFC 9110, section 15). A response with another one, or with
/// that of an interim response such as an upgrade that was not requested, is not delivered.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Returns true if a response with this status may be delivered.
pub(crate) fn is_final_status(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}

//! Many bodies at once.

use rstest::rstest;

use crate::{
    crowd::{BodyPlan, send_bodies},
    host::{CrowdedHost, MAX_BODY_BYTES},
};

/// Bytes at the end of a large body that most clients never send.
const WITHHELD_BYTES: usize = 64 << 10;
const PIECE_BYTES: usize = 16 << 10;
const LARGE_CHUNK_BYTES: usize = 256 << 10;
const SMALL_CHUNK_BYTES: usize = 64;
/// Size of a body of one-byte chunks.
const ONE_BYTE_CHUNKS_BODY_BYTES: usize = 64 << 10;
/// Size of a body that a client announces far over the limit.
const ANNOUNCED_BYTES: usize = 1 << 30;
/// Bytes that a client sends at most of a body far over the limit.
const OVERSIZE_BYTES: usize = 64 << 20;

async fn assert_withstands(plan: BodyPlan) {
    let host = CrowdedHost::start().await;
    let connections = send_bodies(host.callers(), plan).await;
    host.settled().await;
    host.assert_serves().await;
    host.assert_within_bounds();
    drop(connections);
}

#[rstest]
#[case::with_a_length(Some(MAX_BODY_BYTES), MAX_BODY_BYTES, MAX_BODY_BYTES, WITHHELD_BYTES)]
#[case::piece_by_piece(Some(MAX_BODY_BYTES), MAX_BODY_BYTES, PIECE_BYTES, WITHHELD_BYTES)]
#[case::in_large_chunks(None, MAX_BODY_BYTES, LARGE_CHUNK_BYTES, LARGE_CHUNK_BYTES)]
#[case::in_small_chunks(None, MAX_BODY_BYTES, SMALL_CHUNK_BYTES, SMALL_CHUNK_BYTES)]
#[case::in_one_byte_chunks(None, ONE_BYTE_CHUNKS_BODY_BYTES, 1, 1)]
#[actix_rt::test]
async fn bodies_that_stop_short_of_their_end_exceed_no_memory(
    #[case] announced_bytes: Option<usize>,
    #[case] body_bytes: usize,
    #[case] piece_bytes: usize,
    #[case] withheld_bytes: usize,
) {
    assert_withstands(BodyPlan { announced_bytes, body_bytes, piece_bytes, withheld_bytes }).await;
}

#[rstest]
#[case::announced(Some(ANNOUNCED_BYTES))]
#[case::just_sent(None)]
#[actix_rt::test]
async fn bodies_far_over_the_limit_exceed_no_memory(#[case] announced_bytes: Option<usize>) {
    let body_bytes = OVERSIZE_BYTES;
    let piece_bytes = LARGE_CHUNK_BYTES;
    let plan = BodyPlan { announced_bytes, body_bytes, piece_bytes, withheld_bytes: 0 };
    assert_withstands(plan).await;
}

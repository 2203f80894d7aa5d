//! Token count and block hashes of a prompt, for prefix-cache aware placement.
//!
//! Engines publish the hashes of the blocks that they cache. A block's hash
//! covers all blocks before it, so equal hashes mean equal prefixes. Engines
//! and the scheduler must compute the same hashes: the algorithm is part of the
//! upstream protocol (`docs/design/upstream-protocol.md`).

use crate::request::BlockHash;

/// Bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens in a block.
pub const TOKENS_PER_BLOCK: usize = 16;

/// Returns the number of tokens in a prompt, rounded up.
#[must_use]
pub fn token_count(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Returns the chained hashes of the prompt's complete blocks, shortest prefix
/// first. A partial last block is left out.
///
/// # Examples
///
/// ```
/// use comfreyway_core::prompt::block_hashes;
///
/// let shared = "x".repeat(64);
/// let a = block_hashes(&format!("{shared}{}", "a".repeat(64)));
/// let b = block_hashes(&format!("{shared}{}", "b".repeat(64)));
/// assert_eq!(a.len(), 2);
/// assert_eq!(a[0], b[0]);
/// assert_ne!(a[1], b[1]);
/// ```
#[must_use]
pub fn block_hashes(prompt: &str) -> Vec<BlockHash> {
    let blocks = prompt.as_bytes().chunks_exact(BYTES_PER_TOKEN * TOKENS_PER_BLOCK);
    let mut parent = 0_u64;
    blocks
        .map(|block| {
            parent = hash_block(parent, block);
            BlockHash(parent)
        })
        .collect()
}

fn hash_block(parent: u64, block: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&parent.to_be_bytes());
    hasher.update(block);
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(first)
}

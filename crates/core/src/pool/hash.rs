//! A hash map that behaves the same in every run.
//!
//! The keys are request identities and block hashes, which are already evenly
//! distributed, so a cheap multiplicative hash is enough. Decisions never
//! iterate over such a map.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
};

/// Odd integer close to 2^64 divided by the golden ratio (Fibonacci hashing).
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A hash map without a random seed.
pub(super) type StableMap<K, V> = HashMap<K, V, BuildHasherDefault<StableHasher>>;

/// Multiplicative hasher without a random seed.
#[derive(Clone, Copy, Default)]
pub(super) struct StableHasher(u64);

impl StableHasher {
    fn mix(&mut self, value: u64) {
        let mixed = (self.0 ^ value).wrapping_mul(MULTIPLIER);
        self.0 = mixed ^ (mixed >> 32);
    }
}

impl Hasher for StableHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.mix(u64::from(byte));
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.mix(value);
    }

    fn write_u128(&mut self, value: u128) {
        let (low, high) = (value as u64, (value >> 64) as u64);
        self.mix(low);
        self.mix(high);
    }
}

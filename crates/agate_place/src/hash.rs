//! A fast hasher for small internal keys.

use std::hash::{BuildHasherDefault, Hasher};

/// Odd multiplier that spreads the bits of a word: 2^64 divided by the golden ratio.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hasher for keys of a few small integers. Not used for names that callers choose.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct KeyHasher(u64);

/// Builds [`KeyHasher`]s.
pub(crate) type KeyHashBuilder = BuildHasherDefault<KeyHasher>;

impl KeyHasher {
    const fn mix(&mut self, word: u64) {
        self.0 = (self.0.rotate_left(26) ^ word).wrapping_mul(MULTIPLIER);
    }
}

impl Hasher for KeyHasher {
    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.mix(u64::from(byte));
        }
    }

    fn write_u32(&mut self, i: u32) {
        self.mix(u64::from(i));
    }

    fn write_u64(&mut self, i: u64) {
        self.mix(i);
    }

    fn write_isize(&mut self, i: isize) {
        self.mix(i.unsigned_abs() as u64);
    }

    fn finish(&self) -> u64 {
        self.0 ^ (self.0 >> 32)
    }
}

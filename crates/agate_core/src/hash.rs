//! Hash functions with the same result in every process.

use sha2::{Digest, Sha256};

/// Returns the first 8 bytes of SHA-256 over `parts`, each preceded by its length.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let digest = digest(parts);
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(head)
}

/// Returns the first 16 bytes of SHA-256 over `parts`, each preceded by its length.
pub fn stable_hash_wide(parts: &[&[u8]]) -> u128 {
    let digest = digest(parts);
    let mut head = [0; 16];
    head.copy_from_slice(&digest[..16]);
    u128::from_be_bytes(head)
}

fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

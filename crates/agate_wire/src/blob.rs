//! Base64-encoded bodies with a length and a checksum.

use agate_core::hash::stable_hash;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Maximum size of a request or response body, before Base64 encoding.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// A request or response body as sent between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Blob {
    data: String,
    length: u64,
    sum: u64,
}

/// Why a received body is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum BlobError {
    /// the body is not valid Base64
    NotBase64,
    /// the body is shorter or longer than its stated length
    Length,
    /// the body does not match its checksum
    Checksum,
    /// the body is larger than 1048576 bytes
    TooLarge,
}

impl std::error::Error for BlobError {}

impl Blob {
    /// Encodes `body`.
    pub fn new(body: &[u8]) -> Self {
        Self {
            data: STANDARD.encode(body),
            length: body.len() as u64,
            sum: stable_hash(&[body]),
        }
    }

    /// Returns the size of the Base64 text in bytes.
    pub const fn encoded_len(&self) -> usize {
        self.data.len()
    }

    /// Decodes the body and verifies its length and checksum.
    ///
    /// # Errors
    ///
    /// Returns a [`BlobError`] if the body is too large, truncated or altered.
    pub fn decode(&self) -> Result<Vec<u8>, BlobError> {
        if self.length > MAX_BODY_BYTES as u64 {
            return Err(BlobError::TooLarge);
        }
        let Ok(body) = STANDARD.decode(&self.data) else {
            return Err(BlobError::NotBase64);
        };
        if body.len() as u64 != self.length {
            return Err(BlobError::Length);
        }
        if stable_hash(&[&body]) != self.sum {
            return Err(BlobError::Checksum);
        }
        Ok(body)
    }
}

//! Records about members and the keys bound to them.

use std::net::SocketAddr;

use agate_core::{Incarnation, Key};

use crate::convert::parse_id;
use crate::{RecordError, generated};

/// Declares an incarnation lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberLost {
    /// The incarnation.
    pub incarnation: Incarnation,
}

/// Binds an idempotency key to an incarnation. The first binding of a key in log order wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyBound {
    /// The key.
    pub key: Key,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Address at which entries reach the incarnation.
    pub address: SocketAddr,
}

impl From<MemberLost> for generated::MemberLost {
    fn from(record: MemberLost) -> Self {
        Self {
            incarnation: record.incarnation.get(),
        }
    }
}

impl TryFrom<generated::MemberLost> for MemberLost {
    type Error = RecordError;

    fn try_from(record: generated::MemberLost) -> Result<Self, RecordError> {
        Ok(Self {
            incarnation: Incarnation::new(record.incarnation),
        })
    }
}

impl From<KeyBound> for generated::KeyBound {
    fn from(record: KeyBound) -> Self {
        Self {
            key: record.key.get().to_be_bytes().to_vec(),
            incarnation: record.incarnation.get(),
            address: record.address.to_string(),
        }
    }
}

impl TryFrom<generated::KeyBound> for KeyBound {
    type Error = RecordError;

    fn try_from(record: generated::KeyBound) -> Result<Self, RecordError> {
        let Ok(key) = Key::from_u128(parse_id(&record.key, "key")?) else {
            return Err(RecordError::OutOfRange { field: "key" });
        };
        let Ok(address) = record.address.parse() else {
            return Err(RecordError::OutOfRange { field: "address" });
        };
        Ok(Self {
            key,
            incarnation: Incarnation::new(record.incarnation),
            address,
        })
    }
}

//! The record type that covers all kinds.

use prost::Message;
use strum::{EnumDiscriminants, IntoStaticStr};

use crate::generated::{self, record};
use crate::{
    JobCancelled, JobSubmitted, KeyBound, MemberLost, PresetPublished, PresetSwitched, RecordError,
    Resumed, RunBound, RunEnded, SnapshotPart, Withdrawn,
};

/// A record of any kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Wall-clock time of the writer in milliseconds since the Unix epoch; informational only.
    pub wall_ms: u64,
    /// Contents of the record.
    pub body: Body,
}

impl Record {
    /// Returns the size of the encoded record in bytes.
    pub fn encoded_len(&self) -> usize {
        generated::Record::from(self.clone()).encoded_len()
    }
}

/// Contents of a record.
#[derive(Debug, Clone, PartialEq, Eq, IntoStaticStr, EnumDiscriminants)]
#[strum(serialize_all = "kebab-case")]
#[strum_discriminants(name(Kind), doc = "Kind of a record.", derive(Hash, PartialOrd, Ord))]
pub enum Body {
    /// A preset was published.
    PresetPublished(PresetPublished),
    /// A preset was put in force.
    PresetSwitched(PresetSwitched),
    /// A class or tag was withdrawn.
    Withdrawn(Withdrawn),
    /// A class or tag was resumed.
    Resumed(Resumed),
    /// A job was submitted.
    JobSubmitted(JobSubmitted),
    /// A job was cancelled.
    JobCancelled(JobCancelled),
    /// A run was bound to an incarnation.
    RunBound(RunBound),
    /// A run ended.
    RunEnded(RunEnded),
    /// An incarnation was declared lost.
    MemberLost(MemberLost),
    /// An idempotency key was bound to an incarnation.
    KeyBound(KeyBound),
    /// A part of a snapshot.
    SnapshotPart(SnapshotPart),
}

macro_rules! conversions {
    ($($kind:ident),+ $(,)?) => {
        impl From<Body> for record::Body {
            fn from(body: Body) -> Self {
                match body {
                    $(Body::$kind(body) => Self::$kind(body.into()),)+
                }
            }
        }

        impl TryFrom<record::Body> for Body {
            type Error = RecordError;

            fn try_from(body: record::Body) -> Result<Self, RecordError> {
                Ok(match body {
                    $(record::Body::$kind(body) => Self::$kind(body.try_into()?),)+
                })
            }
        }

        $(
            impl From<$kind> for Body {
                fn from(body: $kind) -> Self {
                    Self::$kind(body)
                }
            }
        )+
    };
}

conversions!(
    PresetPublished,
    PresetSwitched,
    Withdrawn,
    Resumed,
    JobSubmitted,
    JobCancelled,
    RunBound,
    RunEnded,
    MemberLost,
    KeyBound,
    SnapshotPart,
);

impl From<Record> for generated::Record {
    fn from(record: Record) -> Self {
        Self {
            wall_ms: record.wall_ms,
            body: Some(record.body.into()),
        }
    }
}

impl TryFrom<generated::Record> for Record {
    type Error = RecordError;

    fn try_from(record: generated::Record) -> Result<Self, RecordError> {
        let Some(body) = record.body else {
            return Err(RecordError::UnknownKind);
        };
        Ok(Self {
            wall_ms: record.wall_ms,
            body: body.try_into()?,
        })
    }
}

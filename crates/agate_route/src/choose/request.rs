//! What is asked of a choice and what comes out.

use std::time::Duration;

use agate_core::ClassName;
use agate_members::{MemberKey, Scope};
use strum::Display;

use crate::budget::Deadline;

/// A request that needs a member.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Its class.
    pub class: &'a ClassName,
    /// When its answer must be with the caller.
    pub deadline: Deadline,
    /// Bytes that it takes to send.
    pub bytes: u64,
    /// Members that have been tried; they are not chosen again.
    pub tried: &'a [MemberKey],
}

/// Where to send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// To a member that may get new work.
    Send {
        /// The member.
        key: MemberKey,
        /// How far away it is.
        scope: Scope,
    },
    /// To an ejected member, to learn whether it serves well again.
    Probe(MemberKey),
    /// Nowhere.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When it is worth coming back.
        retry_after: Duration,
    },
}

/// Why no member was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// No member that may get new work serves the class.
    NoMember,
    /// Every such member has been tried or has as much as it may get.
    Busy,
    /// No member is expected to answer in time.
    Late,
    /// Only another region could answer, and its link has no bytes left.
    Link,
}

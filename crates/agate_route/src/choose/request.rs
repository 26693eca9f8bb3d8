//! Input and result of a choice.

use std::time::Duration;

use agate_core::ClassName;
use agate_members::{MemberKey, Scope};
use strum::Display;

use crate::budget::Deadline;

/// A request that needs a member.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Class of the request.
    pub class: &'a ClassName,
    /// Time by which the caller must have the answer.
    pub deadline: Deadline,
    /// Number of bytes to send.
    pub bytes: u64,
    /// Members already tried; they are not chosen again.
    pub tried: &'a [MemberKey],
}

/// Where to send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Send it to a member that may get new requests.
    Send {
        /// The member.
        key: MemberKey,
        /// Distance of the member.
        scope: Scope,
    },
    /// Send it to an ejected member, to probe whether the member has recovered.
    Probe(MemberKey),
    /// Refuse it.
    Refuse {
        /// Why no member was chosen.
        reason: RefusalReason,
        /// Time to wait before the next attempt.
        retry_after: Duration,
    },
}

/// Why no member was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// No member that may get new requests serves the class.
    NoMember,
    /// Every such member has already been tried or may not get more requests now.
    Busy,
    /// No member is expected to answer before the deadline.
    Late,
    /// Only another region could answer, and the byte budget of the link is used up.
    Link,
}

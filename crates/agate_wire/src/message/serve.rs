//! Urgent requests: service and fate.

use agate_core::{CallerName, ClassName, Incarnation, Key, TraceContext};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use super::Load;
use crate::Blob;

/// Asks an agent to serve one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServeRequest {
    /// Id of this attempt, unique for the entry that sends it.
    pub request: u64,
    /// The incarnation that the request is meant for.
    pub incarnation: Incarnation,
    /// Idempotency key. Present exactly if the request may not be repeated.
    pub key: Option<Key>,
    /// Who sent the request.
    pub caller: CallerName,
    /// Class of the request.
    pub class: ClassName,
    /// Time left until the answer must be with the caller, in milliseconds.
    pub budget_ms: u64,
    /// Span that sends the request.
    pub trace: TraceContext,
    /// Media type of the body.
    pub media: String,
    /// The body.
    pub body: Blob,
}

/// A whole answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media: String,
    /// The body.
    pub body: Blob,
}

/// Why an agent does not run a request. Each of them is a proof that it did not run and never
/// will: an agent that refuses a request with a key tombstones the key first, so that another
/// attempt with the same key, late or at the same time, can't run after the caller was told.
/// [`Refusal::KeyTooOld`] and [`Refusal::Gone`] prove it for this attempt only.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// Every slot and every place in the queue is taken.
    Full,
    /// The deadline can't be met or has passed.
    Late,
    /// The backend server can't be reached.
    Unreachable,
    /// The agent is leaving.
    Leaving,
    /// The class or a tag is withdrawn.
    Withdrawn,
    /// The key was tombstoned by an earlier fate request.
    Tombstoned,
    /// The key is older than the window in which keys are remembered, and unknown here.
    KeyTooOld,
    /// The agent that answers is another incarnation.
    Gone,
    /// The message was malformed: crossed, cut short or out of bounds.
    Malformed,
}

/// Result of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServeResult {
    /// The request ran, now or at an earlier attempt with the same key.
    Done(BackendResponse),
    /// The request did not run.
    Refused {
        /// Why.
        reason: Refusal,
        /// When it is worth coming back, in milliseconds.
        retry_ms: u64,
    },
    /// The request may have run; the backend server gave no whole answer of its own.
    Failed {
        /// What was seen.
        reason: String,
    },
}

/// Answer to [`ServeRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServeReply {
    /// Id of the attempt.
    pub request: u64,
    /// The result.
    pub result: ServeResult,
    /// Load when the reply was made.
    pub load: Load,
}

/// Asks what became of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyStatusRequest {
    /// The key.
    pub key: Key,
    /// The incarnation that the key is bound to.
    pub incarnation: Incarnation,
    /// Whether a key that has not started is to be tombstoned, so that it never starts.
    pub tombstone: bool,
    /// How long to wait for a running request to end, in milliseconds.
    pub wait_ms: u64,
}

/// What became of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyStatus {
    /// It did not run here and never will.
    NotRun,
    /// It has not started, and may.
    Pending,
    /// It is running.
    Running,
    /// It ran; this is its answer.
    Done(BackendResponse),
    /// It ran, but its answer is not held.
    Unanswered {
        /// What was seen.
        reason: String,
    },
    /// The agent that answers is another incarnation.
    Gone,
}

/// Answer to [`KeyStatusRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyStatusReply {
    /// The key.
    pub key: Key,
    /// Its fate.
    #[serde(rename = "fate")]
    pub status: KeyStatus,
    /// Load when the reply was made.
    pub load: Load,
}

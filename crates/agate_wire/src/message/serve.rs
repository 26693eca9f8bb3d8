//! Messages for urgent requests and the status of idempotency keys.

use agate_core::{CallerName, ClassName, Incarnation, Key, TraceContext};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use super::Load;
use crate::Blob;

/// Asks an agent to serve one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServeRequest {
    /// Id of this attempt, unique per sending entry.
    pub request: u64,
    /// The incarnation that the request is addressed to.
    pub incarnation: Incarnation,
    /// Idempotency key; `None` exactly if the request may be repeated.
    pub key: Option<Key>,
    /// Caller that sent the request.
    pub caller: CallerName,
    /// Class of the request.
    pub class: ClassName,
    /// Time left until the caller must have the response, in milliseconds.
    pub budget_ms: u64,
    /// Trace context of the sending span.
    pub trace: TraceContext,
    /// Media type of the body.
    pub media: String,
    /// The body.
    pub body: Blob,
}

/// Complete response of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media: String,
    /// The body.
    pub body: Blob,
}

/// Why an agent refuses a request. A refusal guarantees that the request did not run and never
/// will: the agent tombstones the key of a refused request first, so that a delayed or concurrent
/// attempt with the same key can't run after the caller was told of the refusal.
/// [`Refusal::KeyTooOld`] and [`Refusal::Gone`] guarantee this only for the refused attempt.
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
    /// All slots are in use and the queue is full.
    Full,
    /// The deadline has passed or can't be met.
    Late,
    /// The backend server is unreachable.
    Unreachable,
    /// The agent is leaving.
    Leaving,
    /// The class or a tag of the request is withdrawn.
    Withdrawn,
    /// The key was tombstoned by an earlier [`KeyStatusRequest`].
    Tombstoned,
    /// The key is unknown to the agent and older than the retention window for keys.
    KeyTooOld,
    /// The replying agent is another incarnation.
    Gone,
    /// The message was malformed: mismatched, truncated or out of bounds.
    Malformed,
}

/// Result of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServeResult {
    /// The request ran, in this attempt or an earlier one with the same key.
    Done(BackendResponse),
    /// The request did not run.
    Refused {
        /// Reason for the refusal.
        reason: Refusal,
        /// Suggested time before a retry, in milliseconds.
        retry_ms: u64,
    },
    /// The request may have run, but the backend server gave no complete response to it.
    Failed {
        /// Description of the failure.
        reason: String,
    },
}

/// Reply to [`ServeRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServeReply {
    /// Id of the attempt.
    pub request: u64,
    /// Result of the attempt.
    pub result: ServeResult,
    /// Load at the time of the reply.
    pub load: Load,
}

/// Asks for the status of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyStatusRequest {
    /// The key.
    pub key: Key,
    /// The incarnation that the key is bound to.
    pub incarnation: Incarnation,
    /// Whether to tombstone the key if its request has not started, so that it never starts.
    pub tombstone: bool,
    /// Time to wait for a running request to end, in milliseconds.
    pub wait_ms: u64,
}

/// Status of the request with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyStatus {
    /// It did not run on this agent and never will.
    NotRun,
    /// It has not started but may still do so.
    Pending,
    /// It is running.
    Running,
    /// It ran; this is its response.
    Done(BackendResponse),
    /// It may have run, but no response is available.
    Unanswered {
        /// Why the response is missing.
        reason: String,
    },
    /// The replying agent is another incarnation.
    Gone,
}

/// Reply to [`KeyStatusRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyStatusReply {
    /// The key.
    pub key: Key,
    /// Status of the key.
    #[serde(rename = "fate")]
    pub status: KeyStatus,
    /// Load at the time of the reply.
    pub load: Load,
}

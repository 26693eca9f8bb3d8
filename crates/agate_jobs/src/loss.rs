//! Why runs are lost.

use serde::{Deserialize, Serialize};

/// Why the scheduler counts a run as lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LossReason {
    /// The worker has restarted under its name.
    Restarted,
    /// Another worker has started at the worker's address.
    Replaced,
    /// The agent reported that the worker has left.
    Left,
    /// The agent reported that the lease has lapsed.
    Lapsed,
    /// The agent was silent until every lease had expired.
    Silent,
    /// An earlier leader ended the incarnation or term.
    Superseded,
    /// The log has refused the order to start the run, which was never stored.
    OrderRefused,
}

impl LossReason {
    /// Returns whether the worker has crashed: it is back without having announced that it leaves,
    /// and its agent has not recorded what ran there.
    pub(crate) const fn is_crash(self) -> bool {
        matches!(self, Self::Restarted | Self::Replaced)
    }
}

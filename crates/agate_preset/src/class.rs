//! Policy for a class of work.

use agate_core::{Findings, Urgency};
use serde::{Deserialize, Serialize};

use crate::reader::Reader;

/// Policy for a class of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassPolicy {
    /// Whether a caller waits for the answer or the work runs in batch.
    pub urgency: Urgency,
    /// Time allowed from arrival to answer, in milliseconds, if the caller sets no deadline.
    pub deadline_ms: u32,
    /// Whether requests are safe to run more than once.
    pub repeatable: bool,
    /// Largest share of a backend server's slots that the class may hold, in percent.
    pub share_percent: u32,
}

impl Default for ClassPolicy {
    fn default() -> Self {
        Self {
            urgency: Urgency::Urgent,
            deadline_ms: 2_000,
            repeatable: false,
            share_percent: 100,
        }
    }
}

impl ClassPolicy {
    pub(crate) fn read(mut reader: Reader<'_>, findings: &mut Findings) -> Self {
        let base = Self::default();
        let policy = Self {
            urgency: reader.choice("urgency", base.urgency, findings),
            deadline_ms: reader.number("deadline_ms", 1..=86_400_000, base.deadline_ms, findings),
            repeatable: reader.flag("repeatable", base.repeatable, findings),
            share_percent: reader.number("share_percent", 1..=100, base.share_percent, findings),
        };
        reader.finish(findings);
        policy
    }
}

//! Quota of one team.

use agate_core::{Findings, Resources};
use serde::{Deserialize, Serialize};

use crate::reader::Reader;

/// What a team's batch work may hold at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamQuota {
    /// The guaranteed amount.
    pub guaranteed: Resources,
    /// Whether the team may use what other teams leave idle.
    pub borrow: bool,
}

impl TeamQuota {
    pub(crate) fn read(mut reader: Reader<'_>, findings: &mut Findings) -> Self {
        let quota = Self {
            guaranteed: Resources {
                millicores: reader.number("millicores", 0..=u32::MAX, 0, findings),
                memory_mib: reader.number("memory_mib", 0..=u32::MAX, 0, findings),
                accelerators: reader.number("accelerators", 0..=u32::MAX, 0, findings),
            },
            borrow: reader.flag("borrow", true, findings),
        };
        reader.finish(findings);
        quota
    }
}

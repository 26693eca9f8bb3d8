//! Quota of a team.

use agate_core::{Findings, Resources};
use serde::{Deserialize, Serialize};

use crate::reader::Reader;

/// Resources that the batch work of a team may hold at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamQuota {
    /// Guaranteed resources.
    pub guaranteed: Resources,
    /// Whether the team may use resources that other teams leave idle.
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

//! What the classes of work really do, which no subject is told.

use agate_core::ClassName;
use strum::{EnumIter, IntoStaticStr};

/// Batch classes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Batch {
    /// Takes processors.
    Rebalance,
    /// Takes memory and its bandwidth.
    Rerating,
    /// Takes little and does little.
    Export,
}

/// Urgent classes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Urgent {
    /// Slowed by work that takes processors.
    SeatCheck,
    /// Slowed by work that takes bandwidth of memory.
    Quote,
}

/// True need of one task of a class in the middle of its distribution.
#[derive(Debug, Clone, Copy)]
pub(super) struct Need {
    pub(super) millicores: f64,
    pub(super) memory_mib: f64,
    pub(super) secs: f64,
}

impl Batch {
    pub(super) const fn need(self) -> Need {
        let (millicores, memory_mib, secs) = match self {
            Self::Rebalance => (2_000.0, 3_000.0, 120.0),
            Self::Rerating => (1_000.0, 6_000.0, 180.0),
            Self::Export => (500.0, 1_500.0, 60.0),
        };
        Need {
            millicores,
            memory_mib,
            secs,
        }
    }

    pub(super) fn name(self) -> ClassName {
        let name: &str = self.into();
        ClassName::new(name).expect("the name is valid")
    }

    /// Added slowdown of an urgent class by a whole machine of this class at low load.
    pub(super) const fn slows(self, urgent: Urgent) -> f64 {
        match (self, urgent) {
            (Self::Rebalance, Urgent::SeatCheck) | (Self::Rerating, Urgent::Quote) => 2.0,
            (Self::Rebalance, Urgent::Quote) | (Self::Rerating, Urgent::SeatCheck) => 0.2,
            (Self::Export, _) => 0.05,
        }
    }
}

impl Urgent {
    pub(super) fn name(self) -> ClassName {
        let name: &str = self.into();
        ClassName::new(name).expect("the name is valid")
    }
}

/// Slowdown of an urgent class at `load` between 0 and 1, with these shares of the machine's
/// processors in use by batch classes.
pub(super) fn slowdown(urgent: Urgent, load: f64, shares: &[(Batch, f64)]) -> f64 {
    let by_load = 1.0 + 0.15 * load * load;
    let by_batch = shares
        .iter()
        .map(|&(batch, share)| 1.0 + batch.slows(urgent) * share * (0.5 + load));
    by_load * by_batch.product::<f64>()
}

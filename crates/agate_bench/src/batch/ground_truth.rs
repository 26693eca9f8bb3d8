//! True demand and interference of the classes, hidden from the placers.

use agate_core::ClassName;
use strum::{EnumIter, IntoStaticStr};

/// Batch classes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum BatchClass {
    /// Uses much processor time.
    Rebalance,
    /// Uses much memory and memory bandwidth.
    Rerating,
    /// Uses few resources and interferes little.
    Export,
}

/// Urgent classes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum UrgentClass {
    /// Slowed down by processor-bound work.
    SeatCheck,
    /// Slowed down by memory-bound work.
    Quote,
}

/// Median true demand of a task of one class.
#[derive(Debug, Clone, Copy)]
pub(super) struct TrueDemand {
    pub(super) millicores: f64,
    pub(super) memory_mib: f64,
    pub(super) secs: f64,
}

impl BatchClass {
    pub(super) const fn median_demand(self) -> TrueDemand {
        let (millicores, memory_mib, secs) = match self {
            Self::Rebalance => (2_000.0, 3_000.0, 120.0),
            Self::Rerating => (1_000.0, 6_000.0, 180.0),
            Self::Export => (500.0, 1_500.0, 60.0),
        };
        TrueDemand {
            millicores,
            memory_mib,
            secs,
        }
    }

    pub(super) fn name(self) -> ClassName {
        let name: &str = self.into();
        ClassName::new(name).expect("the name is valid")
    }

    /// Returns the slowdown that a machine filled with this class adds to an urgent class, before
    /// it is scaled by load.
    pub(super) const fn interference(self, urgent: UrgentClass) -> f64 {
        match (self, urgent) {
            (Self::Rebalance, UrgentClass::SeatCheck) | (Self::Rerating, UrgentClass::Quote) => 2.0,
            (Self::Rebalance, UrgentClass::Quote) | (Self::Rerating, UrgentClass::SeatCheck) => 0.2,
            (Self::Export, _) => 0.05,
        }
    }
}

impl UrgentClass {
    pub(super) fn name(self) -> ClassName {
        let name: &str = self.into();
        ClassName::new(name).expect("the name is valid")
    }
}

/// Returns the slowdown of an urgent class at `load` between 0 and 1. `shares` are the shares of
/// the machine's processors that batch classes use.
pub(super) fn slowdown(urgent: UrgentClass, load: f64, shares: &[(BatchClass, f64)]) -> f64 {
    let load_factor = 1.0 + 0.15 * load * load;
    let batch_factors = shares
        .iter()
        .map(|&(batch, share)| 1.0 + batch.interference(urgent) * share * (0.5 + load));
    load_factor * batch_factors.product::<f64>()
}

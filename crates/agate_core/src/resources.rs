//! Amounts of processors, memory and accelerators.

use std::fmt;
use std::ops::{Add, AddAssign};

use serde::{Deserialize, Serialize};

/// Amounts of the resources that can run out on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// Zero of every resource.
    pub const ZERO: Self = Self {
        millicores: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Creates an amount from thousandths of a core, MiB and whole accelerators.
    pub const fn new(millicores: u32, memory_mib: u32, accelerators: u32) -> Self {
        Self {
            millicores,
            memory_mib,
            accelerators,
        }
    }

    /// Returns whether `self` is at most `available` in every dimension.
    pub const fn fits_in(self, available: Self) -> bool {
        self.millicores <= available.millicores
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Returns whether every dimension is zero.
    pub const fn is_zero(self) -> bool {
        self.millicores == 0 && self.memory_mib == 0 && self.accelerators == 0
    }

    /// Returns the difference in every dimension, or `None` if one would be negative.
    pub const fn checked_sub(self, other: Self) -> Option<Self> {
        if !other.fits_in(self) {
            return None;
        }
        Some(self.saturating_sub(other))
    }

    /// Returns the difference in every dimension, clamped at zero.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger amount in every dimension.
    pub fn max(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the largest share of `total` that `self` takes in any dimension. It is infinite if
    /// `self` needs a resource that `total` lacks.
    pub fn dominant_share(self, total: Self) -> f64 {
        let share = |part: u32, whole: u32| match (part, whole) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (p, w) => f64::from(p) / f64::from(w),
        };
        share(self.millicores, total.millicores)
            .max(share(self.memory_mib, total.memory_mib))
            .max(share(self.accelerators, total.accelerators))
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(rhs.millicores),
            memory_mib: self.memory_mib.saturating_add(rhs.memory_mib),
            accelerators: self.accelerators.saturating_add(rhs.accelerators),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}m/{}MiB/{}acc",
            self.millicores, self.memory_mib, self.accelerators
        )
    }
}

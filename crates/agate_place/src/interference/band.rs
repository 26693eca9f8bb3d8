//! Load bands.

/// A quarter of a machine's load range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Band {
    /// Up to 25 %.
    Low,
    /// Up to 50 %.
    Medium,
    /// Up to 75 %.
    High,
    /// Above 75 %.
    Full,
}

impl Band {
    /// Returns the band of a load in percent.
    pub const fn of(load_percent: u32) -> Self {
        match load_percent {
            0..=25 => Self::Low,
            26..=50 => Self::Medium,
            51..=75 => Self::High,
            _ => Self::Full,
        }
    }
}

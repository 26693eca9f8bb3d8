//! Arithmetic on resource amounts and saturating number conversions.

use std::time::Duration;

use agate_core::Resources;

/// Returns the smaller amount in every dimension.
pub(crate) fn min(a: Resources, b: Resources) -> Resources {
    Resources {
        millicores: a.millicores.min(b.millicores),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

/// Returns `percent` percent of the processors and memory, and all accelerators.
pub(crate) fn percent_of(whole: Resources, percent: u32) -> Resources {
    let part = |n: u32| to_u32(f64::from(n) * f64::from(percent) / 100.0);
    Resources {
        millicores: part(whole.millicores),
        memory_mib: part(whole.memory_mib),
        accelerators: whole.accelerators,
    }
}

/// Rounds down to an integer, saturating at the bounds of the type.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast from a float saturates at both ends"
)]
pub(crate) const fn to_u32(number: f64) -> u32 {
    number as u32
}

/// Rounds down to an integer, saturating at the bounds of the type.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast from a float saturates at both ends"
)]
pub(crate) const fn to_u64(number: f64) -> u64 {
    number as u64
}

/// Converts `count` to `u32`, saturating at the largest value.
pub(crate) fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Converts a preset field in milliseconds to a duration.
pub(crate) fn millis(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

/// Converts a preset field in percent to a ratio.
pub(crate) fn ratio(percent: u32) -> f64 {
    f64::from(percent) / 100.0
}

/// Returns the fraction left after `age` of a quantity that halves every `halflife`.
pub(crate) fn decay(age: Duration, halflife: Duration) -> f64 {
    (-age.as_secs_f64() / halflife.as_secs_f64().max(1e-6)).exp2()
}

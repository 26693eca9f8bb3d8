//! Arithmetic on amounts and bounded conversions of numbers.

use std::time::Duration;

use agate_core::Resources;

/// The smaller amount in every dimension.
pub(crate) fn min(a: Resources, b: Resources) -> Resources {
    Resources {
        millicores: a.millicores.min(b.millicores),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

/// `percent` percent of the processors and memory, and all accelerators.
pub(crate) fn percent(whole: Resources, percent: u32) -> Resources {
    let part = |n: u32| to_u32(f64::from(n) * f64::from(percent) / 100.0);
    Resources {
        millicores: part(whole.millicores),
        memory_mib: part(whole.memory_mib),
        accelerators: whole.accelerators,
    }
}

/// The nearest whole number below `number`, within the range of the type.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast from a float saturates at both ends"
)]
pub(crate) const fn to_u32(number: f64) -> u32 {
    number as u32
}

/// The nearest whole number below `number`, within the range of the type.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast from a float saturates at both ends"
)]
pub(crate) const fn to_u64(number: f64) -> u64 {
    number as u64
}

/// `count` as a 32-bit number; more than the type holds counts as its largest value.
pub(crate) fn count(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// A field of a preset in milliseconds as a duration.
pub(crate) fn millis(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

/// A field of a preset in percent as a ratio.
pub(crate) fn ratio(percent: u32) -> f64 {
    f64::from(percent) / 100.0
}

/// What is left of something that halves every `halflife`, after `age`.
pub(crate) fn decay(age: Duration, halflife: Duration) -> f64 {
    (-age.as_secs_f64() / halflife.as_secs_f64().max(1e-6)).exp2()
}

//! Delay before an entry claims a vacant leadership.

use std::ops::Range;
use std::time::Duration;

use rand::Rng as _;

/// Share of a processor that a process has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessorShare(u64);

impl ProcessorShare {
    /// Smallest share with which an entry claims sooner. A takeover on half a processor takes 0.1 to
    /// 0.4 s, one on 0.12 of a processor up to 1.5 s.
    const QUARTER: Self = Self(250);

    /// Creates a share from thousandths of a processor.
    pub const fn from_thousandths(thousandths: u64) -> Self {
        Self(thousandths)
    }
}

/// Delays of entries whose share is unknown, and of small ones after a resignation.
const DEFAULT_DELAY: Range<Duration> = Duration::ZERO..Duration::from_millis(300);

/// Delays of entries with a quarter of a processor or more.
const LARGE_SHARE_DELAY: Range<Duration> = Duration::ZERO..Duration::from_millis(50);

/// Delays of entries with less after a silence. The longest is that of [`DEFAULT_DELAY`], so that
/// deployments with small entries only are not without a leader for longer.
const SMALL_SHARE_DELAY: Range<Duration> = Duration::from_millis(150)..Duration::from_millis(300);

/// Delays that keep entries from claiming at the same moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ClaimDelay {
    /// Delay after the leader has been silent for too long.
    pub after_silence: Duration,
    /// Delay after the leader has resigned.
    pub after_resignation: Duration,
}

impl ClaimDelay {
    /// Draws the delays of an entry. After a silence, the ranges for small and large shares are 100 ms
    /// apart, since entries read the last heartbeat at slightly different times.
    pub fn draw(share: Option<ProcessorShare>) -> Self {
        let is_large = share.is_some_and(|share| share >= ProcessorShare::QUARTER);
        let (silence, resignation) = match share {
            None => (DEFAULT_DELAY, DEFAULT_DELAY),
            Some(_) if is_large => (LARGE_SHARE_DELAY, LARGE_SHARE_DELAY),
            Some(_) => (SMALL_SHARE_DELAY, DEFAULT_DELAY),
        };
        Self {
            after_silence: rand::rng().random_range(silence),
            after_resignation: rand::rng().random_range(resignation),
        }
    }
}

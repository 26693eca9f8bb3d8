//! Delay before an entry claims a vacant leadership.

use std::ops::Range;
use std::time::Duration;

use rand::Rng as _;

/// Share of a processor that a process has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessorShare(u64);

impl ProcessorShare {
    /// A takeover on half a processor takes 0.1 to 0.4 s, one on 0.12 of a processor up to 1.5 s.
    const QUARTER: Self = Self(250);

    /// Creates a share from thousandths of a processor.
    pub const fn from_thousandths(thousandths: u64) -> Self {
        Self(thousandths)
    }
}

/// Delays that keep entries from claiming at the same moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ClaimDelay {
    /// Delay after the leader has been silent for too long.
    pub after_silence: Duration,
    /// Delay after the leader has resigned.
    pub after_resignation: Duration,
}

impl ClaimDelay {
    /// Draws the delays of an entry. The ranges of small and large shares are further apart than the
    /// entries' readings of the last heartbeat usually are.
    pub fn draw(share: Option<ProcessorShare>) -> Self {
        let is_large = share.is_some_and(|share| share >= ProcessorShare::QUARTER);
        let (silence, resignation) = match share {
            None => (ANY_SHARE, ANY_SHARE),
            Some(_) if is_large => (LARGE_SHARE, LARGE_SHARE),
            Some(_) => (SMALL_SHARE, ANY_SHARE),
        };
        Self {
            after_silence: rand::rng().random_range(silence),
            after_resignation: rand::rng().random_range(resignation),
        }
    }
}

const ANY_SHARE: Range<Duration> = Duration::ZERO..Duration::from_millis(300);
const LARGE_SHARE: Range<Duration> = Duration::ZERO..Duration::from_millis(50);
const SMALL_SHARE: Range<Duration> = Duration::from_millis(150)..Duration::from_millis(300);

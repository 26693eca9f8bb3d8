//! Minimum speed of best-effort tasks.

use crate::backlog::{Part, Standing};

/// Share of its speed below which a best-effort task waits for a better worker.
pub(crate) const MIN_SPEED: f64 = 0.7;

/// The same for a straggler of a selected job while the backlog exceeds the capacity. A slow run
/// ends sooner than one that waits for a better worker behind a backlog. At this speed, the other
/// tasks of selected jobs would take room in which faster tasks do more work.
const MIN_STRAGGLER_SPEED: f64 = 0.4;

/// Returns the share of its speed below which a task waits, given whether jobs had to be left out of
/// the selection.
pub(crate) fn min_speed(part: Part, standing: Standing, exceeded: bool) -> f64 {
    let is_served = standing <= Standing::Selected;
    if part == Part::Stragglers && is_served && exceeded {
        MIN_STRAGGLER_SPEED
    } else {
        MIN_SPEED
    }
}

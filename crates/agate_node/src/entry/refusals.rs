//! Orders that the log refuses to store.
//!
//! An append of which every attempt so far was refused has had no effect and won't have any. Its orders to
//! start runs can be taken out of it, so that the tasks are bound elsewhere. An attempt without an answer may
//! still be carried out, so that its orders have to stay.

use std::time::Duration;

use agate_jobs::record::Body;
use agate_jobs::{Order, OrderKind, Record};
use tokio::time::Instant;

use crate::store::AppendError;

/// Time for which an append has to be refused before its orders are given back. Longer than the period of the
/// leader's heartbeats, which show whether the log refuses the main stream as well, so that the ends of the
/// runs couldn't be recorded either.
const RETURN_AFTER: Duration = Duration::from_millis(600);

/// What the attempts at one append have shown.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    first_at: Option<Instant>,
    is_uncertain: bool,
}

impl Refusals {
    /// Records a failed attempt. All but one that was certainly not carried out leave the append uncertain.
    pub fn record(&mut self, error: &AppendError) {
        self.first_at.get_or_insert_with(Instant::now);
        self.is_uncertain |= !matches!(error, AppendError::NotDone(_));
    }

    /// Returns whether any attempt may have been carried out.
    pub const fn is_uncertain(&self) -> bool {
        self.is_uncertain
    }

    /// Returns whether the append has been refused for long enough, and certainly has had no effect.
    pub fn allow_return(&self) -> bool {
        let lasted = |at: Instant| at.elapsed() >= RETURN_AFTER;
        !self.is_uncertain && self.first_at.is_some_and(lasted)
    }
}

/// Replaces the orders to start runs by tombstones, and returns them. The group is never empty, so that the
/// attempts go on and show when the log takes appends again.
pub(super) fn take_starts(group: &mut [Record]) -> Vec<Order> {
    let mut taken = Vec::new();
    for record in group {
        let is_start = |order: &Order| matches!(order.kind, OrderKind::Start { .. });
        match record.body.take() {
            Some(Body::Order(order)) if is_start(&order) => taken.push(order),
            body => record.body = body,
        }
    }
    taken
}

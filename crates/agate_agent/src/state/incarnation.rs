//! The keys and runs bound to one incarnation.

use agate_core::{Incarnation, Resources};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::{Keys, Runs};

/// An incarnation and the keys and runs bound to it.
#[derive(Debug)]
pub(crate) struct Bindings {
    pub(crate) incarnation: Incarnation,
    pub(crate) keys: Keys,
    pub(crate) runs: Runs,
    /// Cancelled when the incarnation is recorded as lost.
    pub(crate) lost: CancellationToken,
    /// Tasks that hold runs of this incarnation.
    pub(crate) holders: TaskTracker,
}

impl Bindings {
    /// Creates a random new incarnation without keys or runs.
    pub(crate) fn new(capacity: Resources) -> Self {
        Self {
            incarnation: Incarnation::random(&mut rand::rng()),
            keys: Keys::new(),
            runs: Runs::new(capacity),
            lost: CancellationToken::new(),
            holders: TaskTracker::new(),
        }
    }
}

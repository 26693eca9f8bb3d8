//! Supervised child tasks.

use std::fmt;
use std::pin::Pin;

use displaydoc::Display;
use tokio_util::sync::CancellationToken;

/// When a child that has ended is restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Restart {
    /// Always, even after success.
    Permanent,
    /// Only after a failure or a panic.
    Transient,
    /// Never; failures are only logged.
    Temporary,
}

/// {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct ChildError(pub String);

impl std::error::Error for ChildError {}

impl ChildError {
    /// Creates an instance from the text of any error.
    pub fn from_error(error: &dyn fmt::Display) -> Self {
        Self(error.to_string())
    }
}

pub(crate) type ChildFuture = Pin<Box<dyn Future<Output = Result<(), ChildError>> + Send>>;
pub(crate) type Factory = Box<dyn FnMut(CancellationToken) -> ChildFuture + Send>;

/// A child and how its supervisor starts it.
pub(crate) struct Child {
    pub(crate) name: &'static str,
    pub(crate) restart: Restart,
    pub(crate) factory: Factory,
}

impl fmt::Debug for Child {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Child")
            .field("name", &self.name)
            .field("restart", &self.restart)
            .finish_non_exhaustive()
    }
}

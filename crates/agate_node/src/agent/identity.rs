//! Which incarnation of a worker answers its agent.

/// Which incarnation answers. Calls name the worker, which may have restarted under its name: then starts and
/// acknowledgements would reach an incarnation that they aren't meant for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Identity {
    /// The known one has answered the newest lease renewal, and no start has failed since.
    Confirmed,
    /// A call has failed since the known one answered.
    Unconfirmed,
    /// Another one has answered.
    Other,
}

impl Identity {
    /// Records that a call has got no answer.
    pub fn doubt(&mut self) {
        if *self == Self::Confirmed {
            *self = Self::Unconfirmed;
        }
    }
}

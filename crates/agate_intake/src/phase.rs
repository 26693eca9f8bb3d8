//! What a connection is doing.

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Nothing was received yet.
    Silent,
    /// A part of a request's head was received.
    Head,
    /// The head was received, and the body isn't complete.
    Body,
    /// The request is complete, and its response isn't ready.
    Complete,
    /// The response is being sent.
    Response,
    /// The response was sent, and nothing of another request was received.
    Idle,
}

impl Phase {
    /// Returns whether the client still owes a part of its request.
    pub const fn is_unfinished(self) -> bool {
        match self {
            Self::Silent | Self::Head | Self::Body => true,
            Self::Complete | Self::Response | Self::Idle => false,
        }
    }
}

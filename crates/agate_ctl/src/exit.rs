//! Exit codes.

use std::process::ExitCode;

use strum::{EnumIter, EnumMessage, IntoStaticStr};

/// Result of a command. The doc comments are printed on the reference page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EnumIter, EnumMessage, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ExitStatus {
    /// The command succeeded.
    Done,
    /// The entry refused the command: the named object does not exist, or a limit is reached.
    Refused,
    /// The command line or the document is invalid; every problem is listed with its place.
    Usage,
    /// No entry could be reached.
    Unreachable,
    /// Another operator made a conflicting change first; the message says which.
    Conflict,
    /// The token is missing or invalid.
    Unauthorized,
    /// The log is unavailable; nothing was changed.
    LogDown,
    /// It is unknown whether the change was made; repeat the same command.
    Unknown,
}

impl ExitStatus {
    /// Returns the exit code.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::Conflict => 4,
            Self::Unauthorized => 5,
            Self::LogDown => 6,
            Self::Unknown => 7,
        }
    }

    /// Returns the description of when the code is used.
    pub fn about(self) -> &'static str {
        self.get_documentation().unwrap_or_default()
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}

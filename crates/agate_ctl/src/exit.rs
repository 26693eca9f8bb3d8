//! Exit codes.

use std::process::ExitCode;

use strum::{EnumIter, EnumMessage, IntoStaticStr};

/// How a command ended. The doc comments are shown on the reference page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EnumIter, EnumMessage, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ExitStatus {
    /// The command did what it says.
    Done,
    /// The entry refused: what was named does not exist, or a limit is reached.
    Refused,
    /// The command line or the document is wrong; every problem is listed with its place.
    Usage,
    /// No entry could be reached.
    Unreachable,
    /// Another operator came first; the message says who won.
    Conflict,
    /// The token is missing or wrong.
    Unauthorized,
    /// The log does not take the change now; nothing was changed.
    LogDown,
    /// It is not known whether the change was made; send the same again.
    Unknown,
}

impl ExitStatus {
    /// The exit code.
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

    /// When the code is used.
    pub fn about(self) -> &'static str {
        self.get_documentation().unwrap_or_default()
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}

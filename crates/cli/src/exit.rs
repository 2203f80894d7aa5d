//! Exit codes.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Success, such as an accepted change or an answered request.
    Done,
    /// The command failed and changed nothing.
    Failed,
    /// The command line is wrong.
    Usage,
    /// The change was refused; nothing was written.
    Refused,
    /// Another change of the same element came first; nothing was written.
    Conflict,
    /// The change may have been accepted, or the request may have run.
    Unknown,
    /// The request was not run.
    NotRun,
}

impl Exit {
    /// Returns the process's exit code.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Refused => 3,
            Self::Conflict => 4,
            Self::Unknown => 5,
            Self::NotRun => 6,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}

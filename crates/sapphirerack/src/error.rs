//! Errors and their exit codes.

use std::process::ExitCode;

/// Result of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Error of a command; each variant has its own exit code.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The host can't run.
    #[error("{0}")]
    Run(String),
    /// Invalid command, option or operand.
    #[error("{0} (see 'sapphirerack --help')")]
    Usage(String),
    /// A file can't be read or is invalid.
    #[error("{0}")]
    File(String),
    /// The host did not respond, or its response was unreadable.
    #[error("{step} at {peer}: {message}")]
    Unreachable { step: &'static str, peer: String, message: String },
    /// The host refused the request; nothing changed.
    #[error("{step} at {peer}: refused with status {status}: {message}")]
    Refused { step: &'static str, peer: String, status: u16, message: String },
    /// Another change came first; nothing changed.
    #[error("{step} at {peer}: conflict: {message}")]
    Conflict { step: &'static str, peer: String, message: String },
    /// The change may have been accepted or not.
    #[error("{step} at {peer}: outcome unknown: {message}")]
    Unknown { step: &'static str, peer: String, message: String },
    /// An awaited move was reversed.
    #[error("move {id} was reversed: {reason}")]
    Reversed { id: String, reason: String },
}

impl Error {
    /// Exit code, by which scripts distinguish the variants.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Run(_) => 1,
            Self::Usage(_) => 2,
            Self::File(_) => 3,
            Self::Unreachable { .. } => 4,
            Self::Refused { .. } => 5,
            Self::Conflict { .. } => 6,
            Self::Unknown { .. } => 7,
            Self::Reversed { .. } => 8,
        })
    }
}

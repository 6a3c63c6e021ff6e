//! Why a change was not accepted.

use sapphirerack_catalogue::Name;

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The change breaks a rule; nothing changed.
    #[error("{0}")]
    Invalid(String),
    /// The member may not make the change; nothing changed.
    #[error("{member}: {reason}")]
    Forbidden {
        /// Member that asked for it.
        member: Name,
        /// Rule that forbids it.
        reason: String,
    },
    /// Another change came first; nothing changed.
    #[error("another change came first: {0}")]
    Conflict(String),
    /// The store can't be reached; nothing changed.
    #[error("{0}")]
    Unavailable(String),
    /// The store did not answer; the change may have been accepted.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

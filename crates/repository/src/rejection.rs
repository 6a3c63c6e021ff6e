//! Reasons for rejecting a change.

use sapphirerack_catalogue::Name;

/// Reason for rejecting a change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The change violates a rule; nothing changed.
    #[error("{0}")]
    Invalid(String),
    /// The member is not authorized to make the change; nothing changed.
    #[error("{member}: {reason}")]
    Forbidden {
        /// Requesting member.
        member: Name,
        /// Violated rule.
        reason: String,
    },
    /// A concurrent change was applied first; nothing changed.
    #[error("another change came first: {0}")]
    Conflict(String),
    /// The store is unavailable; nothing changed.
    #[error("{0}")]
    Unavailable(String),
    /// The store did not reply; the change may have been applied.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

//! Error type.

use std::fmt;
use std::sync::Arc;

/// Result of this crate's functions.
pub type Result<T> = std::result::Result<T, Error>;

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// No response; the call may have taken effect.
    Unreachable,
    /// The peer refused the call, which had no effect.
    Refused,
    /// Version mismatch in a compare-and-swap; the call had no effect.
    Conflict,
    /// The response does not conform to the interface.
    Malformed,
}

/// Error of a call, with the failed step and the peer.
pub struct Error(Box<Inner>);

#[derive(Debug)]
struct Inner {
    step: &'static str,
    peer: Arc<str>,
    code: Code,
}

#[derive(Debug, thiserror::Error)]
pub(crate) enum Code {
    #[error("{0}")]
    Unreachable(String),
    #[error("no connection: {0}")]
    Unconnected(String),
    #[error("no answer in time")]
    Timeout,
    #[error("refused with status {0}")]
    Refused(u16),
    #[error("version conflict")]
    Conflict,
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl Error {
    #[cold]
    pub(crate) fn new(step: &'static str, peer: &Arc<str>, code: Code) -> Self {
        Self(Box::new(Inner { step, peer: peer.clone(), code }))
    }

    /// Error for use by test doubles of a client.
    pub fn simulated(step: &'static str, peer: &Arc<str>, category: Category) -> Self {
        let code = match category {
            Category::Unreachable => Code::Unreachable("stand-in".into()),
            Category::Refused => Code::Refused(503),
            Category::Conflict => Code::Conflict,
            Category::Malformed => Code::Malformed("stand-in".into()),
        };
        Self::new(step, peer, code)
    }

    /// Category of the error.
    pub fn classify(&self) -> Category {
        match self.0.code {
            Code::Unreachable(_) | Code::Unconnected(_) | Code::Timeout => Category::Unreachable,
            Code::Refused(_) => Category::Refused,
            Code::Conflict => Category::Conflict,
            Code::Malformed(_) => Category::Malformed,
        }
    }

    /// Whether no connection was established, so that the peer can't have received the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self.0.code, Code::Unconnected(_))
    }

    /// Whether the call timed out.
    pub fn is_timeout(&self) -> bool {
        matches!(self.0.code, Code::Timeout)
    }

    /// HTTP status with which the peer refused the call.
    pub fn status(&self) -> Option<u16> {
        match self.0.code {
            Code::Refused(status) => Some(status),
            _ => None,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.0.step, self.0.peer, self.0.code)
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

impl std::error::Error for Error {}

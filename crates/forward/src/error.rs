//! Errors of this crate.

use std::sync::Arc;
use std::{fmt, io};

/// Result of this crate's functions.
pub type Result<T> = std::result::Result<T, Error>;

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The settings are invalid.
    Settings,
    /// A call to the operating system failed.
    System,
    /// A peer returned an error or a malformed answer.
    Peer,
    /// A peer did not answer in time.
    Timeout,
    /// The connection to a peer broke before its answer was complete.
    Broken,
    /// The peer has discarded the requested history, or goes on from an earlier copy of it.
    Expired,
}

/// Error with the step that failed and the peer.
pub struct Error(Box<Inner>);

#[derive(Debug)]
struct Inner {
    step: &'static str,
    peer: Option<Arc<str>>,
    code: Code,
}

#[derive(Debug, thiserror::Error)]
enum Code {
    #[error("{0}")]
    Syntax(serde_json::Error),
    #[error("{0}")]
    Rule(String),
    #[error("{0}")]
    Io(io::Error),
    #[error("{0}")]
    Http(hyper::Error),
    #[error("no answer in time")]
    Timeout,
    #[error("status {0}")]
    Status(u16),
    #[error("connection broken: {0}")]
    Broken(String),
    #[error("in era {found} of the store, not {known}")]
    Era { found: u64, known: u64 },
    #[error("malformed: {0}")]
    Malformed(String),
    #[error("{0}")]
    Metrics(String),
}

impl Error {
    #[cold]
    fn new(step: &'static str, peer: Option<Arc<str>>, code: Code) -> Self {
        Self(Box::new(Inner { step, peer, code }))
    }

    #[cold]
    pub(crate) fn syntax(source: serde_json::Error) -> Self {
        Self::new("read settings", None, Code::Syntax(source))
    }

    #[cold]
    pub(crate) fn rule(message: String) -> Self {
        Self::new("check settings", None, Code::Rule(message))
    }

    #[cold]
    pub(crate) fn io(step: &'static str, peer: impl ToString, source: io::Error) -> Self {
        Self::new(step, Some(peer.to_string().into()), Code::Io(source))
    }

    #[cold]
    pub(crate) fn http(step: &'static str, peer: impl ToString, source: hyper::Error) -> Self {
        Self::new(step, Some(peer.to_string().into()), Code::Http(source))
    }

    #[cold]
    pub(crate) fn timeout(step: &'static str, peer: impl ToString) -> Self {
        Self::new(step, Some(peer.to_string().into()), Code::Timeout)
    }

    #[cold]
    pub(crate) fn status(step: &'static str, peer: impl ToString, status: u16) -> Self {
        Self::new(step, Some(peer.to_string().into()), Code::Status(status))
    }

    #[cold]
    pub(crate) fn broken(step: &'static str, peer: impl ToString, reason: String) -> Self {
        Self::new(step, Some(peer.to_string().into()), Code::Broken(reason))
    }

    #[cold]
    pub(crate) fn malformed(step: &'static str, peer: impl ToString, reason: String) -> Self {
        Self::new(step, Some(peer.to_string().into()), Code::Malformed(reason))
    }

    #[cold]
    pub(crate) fn era(step: &'static str, peer: impl ToString, found: u64, known: u64) -> Self {
        Self::new(step, Some(peer.to_string().into()), Code::Era { found, known })
    }

    #[cold]
    pub(crate) fn metrics(reason: String) -> Self {
        Self::new("start metrics", None, Code::Metrics(reason))
    }

    /// Category of the error.
    pub fn classify(&self) -> Category {
        match self.0.code {
            Code::Syntax(_) | Code::Rule(_) => Category::Settings,
            Code::Io(_) | Code::Metrics(_) => Category::System,
            Code::Status(410) => Category::Expired,
            Code::Era { found, known } if found > known => Category::Expired,
            Code::Timeout => Category::Timeout,
            Code::Broken(_) => Category::Broken,
            Code::Http(_) | Code::Status(_) | Code::Era { .. } | Code::Malformed(_) => {
                Category::Peer
            }
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0.peer {
            Some(peer) => write!(f, "{} at {peer}: {}", self.0.step, self.0.code),
            None => write!(f, "{}: {}", self.0.step, self.0.code),
        }
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

impl std::error::Error for Error {}

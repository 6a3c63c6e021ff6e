//! Errors of the crate.

use std::sync::Arc;
use std::{fmt, io};

/// Result of this crate's functions.
pub type Result<T> = std::result::Result<T, Error>;

/// Broad category of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The settings are invalid.
    Settings,
    /// A system resource, such as a socket or a thread, could not be set up.
    System,
}

/// Error with the step that failed and the address, thread or other object concerned.
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
    Http(sapphirerack_http::Error),
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
    pub(crate) fn io(step: &'static str, peer: impl Into<Arc<str>>, source: io::Error) -> Self {
        Self::new(step, Some(peer.into()), Code::Io(source))
    }

    #[cold]
    pub(crate) fn http(source: sapphirerack_http::Error) -> Self {
        Self::new("serve HTTP", None, Code::Http(source))
    }

    #[cold]
    pub(crate) fn metrics(message: String) -> Self {
        Self::new("start metrics", None, Code::Metrics(message))
    }

    /// Broad category of the error.
    pub fn classify(&self) -> Category {
        match self.0.code {
            Code::Syntax(_) | Code::Rule(_) => Category::Settings,
            Code::Io(_) | Code::Http(_) | Code::Metrics(_) => Category::System,
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

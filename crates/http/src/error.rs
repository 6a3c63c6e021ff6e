//! The crate's error.

use std::net::SocketAddr;
use std::{fmt, io};

/// Result of this crate's functions.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a server could not be started.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
#[error("{step} at {peer}: {source}")]
struct Inner {
    step: &'static str,
    peer: SocketAddr,
    source: io::Error,
}

impl Error {
    #[cold]
    pub(crate) fn new(step: &'static str, peer: SocketAddr, source: io::Error) -> Self {
        Self(Box::new(Inner { step, peer, source }))
    }

    /// Kind of the operating system's error.
    pub fn kind(&self) -> io::ErrorKind {
        self.0.source.kind()
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.0.source)
    }
}

//! Error type.

use std::fmt;

/// Result of this crate's functions.
pub type Result<T> = std::result::Result<T, Error>;

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The message exceeds the frame or datagram limit.
    TooLarge,
    /// The message can't be encoded or decoded.
    Malformed,
}

/// Error from encoding or decoding a message.
pub struct Error(Box<Code>);

#[derive(Debug, thiserror::Error)]
enum Code {
    #[error("message of {0} bytes exceeds the size limit")]
    TooLarge(usize),
    #[error("encode or decode message: {0}")]
    Postcard(#[source] postcard::Error),
}

impl Error {
    #[cold]
    pub(crate) fn too_large(len: usize) -> Self {
        Self(Box::new(Code::TooLarge(len)))
    }

    #[cold]
    pub(crate) fn postcard(source: postcard::Error) -> Self {
        Self(Box::new(Code::Postcard(source)))
    }

    /// Category of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Code::TooLarge(_) => Category::TooLarge,
            Code::Postcard(_) => Category::Malformed,
        }
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
        std::error::Error::source(&*self.0)
    }
}

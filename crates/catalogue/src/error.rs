//! Error type.

use std::fmt;

/// Result of this crate's functions.
pub type Result<T> = std::result::Result<T, Error>;

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The text is not well formed.
    Syntax,
    /// The text is well formed but violates a rule.
    Rule,
}

/// Error from parsing or validating a catalogue.
pub struct Error(Box<Code>);

#[derive(Debug, thiserror::Error)]
enum Code {
    #[error("read catalogue: {0}")]
    Syntax(#[source] serde_json::Error),
    #[error("check catalogue: {path}: {found}, expected {expected}")]
    Rule { path: String, found: String, expected: &'static str },
}

impl Error {
    #[cold]
    pub(crate) fn syntax(source: serde_json::Error) -> Self {
        Self(Box::new(Code::Syntax(source)))
    }

    #[cold]
    pub(crate) fn rule(path: String, found: impl Into<String>, expected: &'static str) -> Self {
        Self(Box::new(Code::Rule { path, found: found.into(), expected }))
    }

    /// Category of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Code::Syntax(_) => Category::Syntax,
            Code::Rule { .. } => Category::Rule,
        }
    }

    /// Path to the field that violates a rule, such as `services[0].shards[1].span`.
    pub fn path(&self) -> Option<&str> {
        match &*self.0 {
            Code::Syntax(_) => None,
            Code::Rule { path, .. } => Some(path),
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

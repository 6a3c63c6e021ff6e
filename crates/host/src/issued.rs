//! Idempotency keys that a host hands out.
//!
//! Such a key names the one host incarnation that may run it. It needs no store, and it works
//! while the store is out of reach; once that incarnation is gone, so is what it knew.

use std::fmt;
use std::time::Duration;

use sapphirerack_catalogue::Name;
use sapphirerack_policy::booking::Runner;

const PREFIX: &str = "h";

/// A key that a host handed out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct IssuedKey {
    /// Incarnation that handed it out.
    pub runner: Runner,
    /// Time since the Unix epoch at which it was handed out.
    pub time: Duration,
    /// Tells keys of one incarnation apart.
    pub nonce: u64,
    /// Host that handed it out.
    pub host: Name,
}

impl IssuedKey {
    /// Reads a key; `None` if it is a caller's own.
    pub(crate) fn parse(key: &str) -> Option<Self> {
        let mut parts = key.splitn(5, '-');
        if parts.next()? != PREFIX {
            return None;
        }
        let mut number = || u64::from_str_radix(parts.next()?, 16).ok();
        let (runner, millis, nonce) = (number()?, number()?, number()?);
        let host = parts.next()?.into();
        Some(Self { runner, time: Duration::from_millis(millis), nonce, host })
    }
}

impl fmt::Display for IssuedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { runner, time, nonce, host } = self;
        write!(f, "{PREFIX}-{runner:016x}-{:x}-{nonce:016x}-{host}", time.as_millis())
    }
}

//! Idempotency keys issued by a host.
//!
//! Such a key names the only host incarnation that may run its booking. It needs no store and works
//! while the store is unreachable; the outcome is lost when that incarnation ends.

use std::fmt;
use std::time::Duration;

use sapphirerack_catalogue::Name;
use sapphirerack_policy::booking::Runner;

const PREFIX: &str = "h";

/// A key issued by a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct IssuedKey {
    /// Incarnation that issued it.
    pub runner: Runner,
    /// Time of issue since the Unix epoch.
    pub time: Duration,
    /// Distinguishes the keys of one incarnation.
    pub nonce: u64,
    /// Host that issued it.
    pub host: Name,
}

impl IssuedKey {
    /// Parses a key; `None` if it is a caller's own.
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

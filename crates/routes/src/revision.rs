//! Position of a change in the history of the store.
//!
//! A store that is restored from a copy has lost the changes since, and gives their revisions to
//! other changes. Each restore begins a new era, so that revisions are ordered by era first. What a
//! host knows from an earlier era stays true: the copy shows an older state, not a newer one.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Revision of a change, and the era of the store in which it was given.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Era of the store; rises with each restore.
    pub era: u64,
    /// Revision within the era.
    pub number: u64,
}

impl Revision {
    /// Revision `number` of an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// The revision before, in the same era.
    pub fn before(self) -> Self {
        Self { number: self.number.saturating_sub(1), ..self }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

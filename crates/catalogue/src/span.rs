//! Ranges of the partition space.
//!
//! Coverage is always the sum of span lengths divided by [`PARTITION_SPACE`], never a count of
//! replies.

use serde::{Deserialize, Serialize};

/// Number of partitions; keys hash to `0..PARTITION_SPACE`.
pub const PARTITION_SPACE: u32 = 65_536;

/// Half-open range `start..end` of the partition space.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// First partition in the span.
    pub start: u32,
    /// First partition after the span.
    pub end: u32,
}

impl Span {
    /// Span from `start` (inclusive) to `end` (exclusive).
    pub const fn new(start: u32, end: u32) -> Self {
        Self { start, end }
    }

    /// Number of partitions in the span; 0 if it is inverted.
    pub const fn len(self) -> u32 {
        self.end.saturating_sub(self.start)
    }

    /// Whether the span contains no partition.
    pub const fn is_empty(self) -> bool {
        self.len() == 0
    }

    /// Whether the span is non-empty and lies within the partition space.
    pub const fn is_valid(self) -> bool {
        !self.is_empty() && self.end <= PARTITION_SPACE
    }

    /// Whether the spans have a partition in common.
    pub const fn overlaps(self, other: Self) -> bool {
        self.start < other.end && other.start < self.end
    }
}

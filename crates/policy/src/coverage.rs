//! Which partitions an answer covers.
//!
//! Coverage is a union of disjoint spans. A span that overlaps an earlier one is rejected, as its
//! results would appear twice in the answer.

use sapphirerack_catalogue::{PARTITION_SPACE, Span};

/// Disjoint spans that an answer covers.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    spans: Vec<Span>,
}

impl Coverage {
    /// Adds a span; returns false, and changes nothing, if it is invalid or overlaps.
    pub fn add(&mut self, span: Span) -> bool {
        if !span.is_valid() || self.spans.iter().any(|s| s.overlaps(span)) {
            return false;
        }
        self.spans.push(span);
        true
    }

    /// Number of partitions covered.
    pub fn partitions(&self) -> u32 {
        self.spans.iter().map(|s| s.len()).sum()
    }

    /// Share of the partition space covered, from 0 to 1.
    pub fn fraction(&self) -> f64 {
        f64::from(self.partitions()) / f64::from(PARTITION_SPACE)
    }

    /// Whether the whole partition space is covered.
    pub fn is_complete(&self) -> bool {
        self.partitions() == PARTITION_SPACE
    }
}

//! Which hosts read the store.
//!
//! Every host is told by the others what the store says, and how long ago that was. It reads the
//! store itself when this gets older than its patience. The first-ranked host has the least and so
//! reads for all; the first of each other data centre reads if that host is gone or out of reach;
//! the rest only follow when these fail as well. Nobody is elected and nobody must notice a
//! failure.

use std::time::Duration;

/// Age at which the first-ranked of all hosts reads.
const FIRST: Duration = Duration::from_millis(850);

/// Age at which the first-ranked host of a data centre reads.
const FIRST_HERE: Duration = Duration::from_millis(1_500);

/// Age at which the second-ranked host of a data centre reads.
const SECOND_HERE: Duration = Duration::from_millis(2_200);

/// More patience for each rank after that.
const STEP: Duration = Duration::from_millis(150);

/// Longest pause between two tries while the store does not answer.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);

/// Age that the view of a host may reach before it reads the store; ranks start at 0.
pub fn max_staleness(rank: usize, rank_here: usize) -> Duration {
    match (rank, rank_here) {
        (0, _) => FIRST,
        (_, 0) => FIRST_HERE,
        (_, here) => SECOND_HERE + STEP * u32::try_from(here - 1).unwrap_or(u32::MAX).min(1_000),
    }
}

/// When a host tries the store again after failures.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadBackoff {
    failures: u32,
}

impl ReadBackoff {
    /// Takes note of an answer; true if it ends a series of failures.
    pub fn succeeded(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    /// Whether the last try failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Takes note of a failure; tells how long to pause.
    pub fn failed(&mut self, patience: Duration) -> Duration {
        self.failures = self.failures.saturating_add(1);
        let pause = patience / 4 * 2_u32.saturating_pow(self.failures.min(4) - 1);
        pause.min(LONGEST_PAUSE.max(patience))
    }
}

//! Which hosts read the store.
//!
//! Every host gets the state of the store from the others, with its age, and reads the store itself
//! when the state is older than the host's staleness limit. The first-ranked host has the lowest
//! limit, so it reads for all; the first host of each other data centre reads if that host is down
//! or unreachable, and the rest follow when these fail as well. This needs no leader election and
//! no failure detection.

use std::time::Duration;

/// Staleness limit of the first-ranked host of all.
const FIRST: Duration = Duration::from_millis(850);

/// Staleness limit of the first-ranked host of a data centre.
const FIRST_LOCAL: Duration = Duration::from_millis(1_500);

/// Staleness limit of the second-ranked host of a data centre.
const SECOND_LOCAL: Duration = Duration::from_millis(2_200);

/// Added to the limit for each further rank.
const STEP: Duration = Duration::from_millis(150);

/// Longest backoff while the store does not answer.
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);

/// Age of a host's view at which it reads the store; ranks start at 0.
pub fn max_staleness(rank: usize, local_rank: usize) -> Duration {
    match (rank, local_rank) {
        (0, _) => FIRST,
        (_, 0) => FIRST_LOCAL,
        (_, rank) => SECOND_LOCAL + STEP * u32::try_from(rank - 1).unwrap_or(u32::MAX).min(1_000),
    }
}

/// Backoff of reads of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadBackoff {
    failures: u32,
}

impl ReadBackoff {
    /// Resets the backoff after a successful read; true if the read before had failed.
    pub fn succeeded(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    /// Whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records a failed read; returns the delay before the next one.
    pub fn failed(&mut self, max_staleness: Duration) -> Duration {
        self.failures = self.failures.saturating_add(1);
        let delay = max_staleness / 4 * 2_u32.saturating_pow(self.failures.min(4) - 1);
        delay.min(MAX_BACKOFF.max(max_staleness))
    }
}

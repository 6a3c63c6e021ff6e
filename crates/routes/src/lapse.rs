//! Removals that may be the store's fault.
//!
//! While the store is away targets can't renew their entries, and the entries of live targets
//! lapse. They are back soon after the store's return. Until then removals are not believed; after
//! it the store is listed anew, and what is still missing has gone.
//!
//! A host that did not read the store while it was away finds out by the removals themselves: so
//! many targets do not vanish between two readings of a store that answers.

use std::time::{Duration, Instant};

/// Time for which live targets may still be missing after the store is back.
const RETURN_TIME: Duration = Duration::from_millis(2_300);

/// Least number and least share of the usable targets that do not vanish at once by themselves.
const MASS: (usize, f64) = (3, 0.2);

/// Whether removals are believed now.
#[derive(Debug, Default)]
pub struct RemovalGuard {
    away: bool,
    until: Option<Instant>,
    held: bool,
}

impl RemovalGuard {
    /// Takes note that the store did not answer.
    pub fn store_down(&mut self) {
        self.away = true;
    }

    /// Takes note of how many of the usable targets one reading removes.
    pub fn record_removals(&mut self, count: usize, usable: usize) {
        let (least, share) = MASS;
        if count >= least && count as f64 > share * usable as f64 {
            self.away = true;
        }
    }

    /// Takes note that the store answered.
    pub fn store_up(&mut self, now: Instant) {
        if std::mem::take(&mut self.away) {
            self.until = Some(now + RETURN_TIME);
        }
    }

    /// Whether a removal is not to be believed yet, since it may be a lapse.
    pub fn hold(&mut self, now: Instant) -> bool {
        let doubtful = self.away || self.until.is_some_and(|until| now < until);
        self.held |= doubtful;
        doubtful
    }

    /// Whether the store is to be listed to settle removals that were held back.
    pub fn needs_listing(&self, now: Instant) -> bool {
        self.held && !self.away && self.until.is_none_or(|until| now >= until)
    }

    /// Takes note that the store was listed and what is missing was settled.
    pub fn resolved(&mut self) {
        self.held = false;
    }
}

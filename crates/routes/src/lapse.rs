//! Holds back removals of live targets after an outage of the store.
//!
//! While the store is down, targets can't renew their entries, and the entries of live targets
//! expire. The targets are announced again soon after the store recovers. Until then removals are
//! held back; then the store is listed in full, and targets still missing are removed.
//!
//! An outage is a time in which reads fail. A host whose own reads failed knows of it, unless another
//! host has read the store meanwhile. That nobody read the store for a while is no sign of an outage:
//! the host that reads for all may have been lost.
//!
//! A host that did not read the store during the outage infers it from the removals: so many
//! targets rarely disappear between two reads of a store that is up. It does so only if no host has
//! read the store for as long as an outage takes in which entries expire. Otherwise the targets have
//! left together, as when an index is cut into another set of shards.
//!
//! A store that was restored from a copy lacks the targets that were announced since; they announce
//! themselves again as after an outage.

use std::time::{Duration, Instant};

/// Time in which live targets announce themselves again after the store recovers.
const RENEWAL_TIME: Duration = Duration::from_millis(2_300);

/// Least number and least share of usable targets removed by one read from which an outage is
/// inferred.
const MASS_REMOVAL: (usize, f64) = (3, 0.2);

/// Shortest outage in which entries expire: less than the time that targets have to renew them.
const MIN_OUTAGE: Duration = Duration::from_secs(2);

/// Time between two renewals of an entry. An outage that is shorter costs one renewal at most, and
/// an entry expires without three.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_200);

/// Decides whether removals are applied or held back.
#[derive(Debug, Default)]
pub struct RemovalGuard {
    /// Whether the changes that are being applied follow an outage.
    down: bool,
    /// End of the time in which live targets are announced again.
    until: Option<Instant>,
    /// Whether removals are held back.
    held: bool,
}

impl RemovalGuard {
    /// Records that the store has answered a read that began `age` after a host last read it, `None`
    /// if none is known to have; `failed` tells whether this host's read before had failed.
    pub fn store_answered(&mut self, failed: bool, age: Option<Duration>) {
        let was_read = age.is_some_and(|age| age < RENEWAL_INTERVAL);
        self.down = failed && !was_read;
    }

    /// Records how many of the usable targets one read removes; `age` is the time since a host last
    /// read the store, `None` if none is known to have.
    pub fn record_removals(&mut self, count: usize, usable: usize, age: Option<Duration>) {
        let (least, share) = MASS_REMOVAL;
        let was_read = age.is_some_and(|age| age < MIN_OUTAGE);
        if !was_read && count >= least && count as f64 > share * usable as f64 {
            self.down = true;
        }
    }

    /// Records that the store has been restored from a copy, which the changes show.
    pub fn store_restored(&mut self) {
        self.down = true;
    }

    /// Records that the changes of a read have been applied.
    pub fn store_up(&mut self, now: Instant) {
        if std::mem::take(&mut self.down) {
            self.until = Some(now + RENEWAL_TIME);
        }
    }

    /// Whether to hold back a removal, because a live target's entry may have expired.
    pub fn hold(&mut self, now: Instant) -> bool {
        let uncertain = self.down || self.until.is_some_and(|until| now < until);
        self.held |= uncertain;
        uncertain
    }

    /// Whether the store has to be listed to resolve removals that were held back.
    pub fn needs_listing(&self, now: Instant) -> bool {
        self.held && !self.down && self.until.is_none_or(|until| now >= until)
    }

    /// Records that a listing of the store has resolved the removals that were held back.
    pub fn resolved(&mut self) {
        self.held = false;
    }
}

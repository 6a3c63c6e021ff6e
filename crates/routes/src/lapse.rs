//! Removals that may be the store's fault.
//!
//! While the store is away targets can't renew their entries, and the entries of live targets
//! lapse. They are back soon after the store's return. Until then a removal that was found right
//! after an outage is held back.

use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Map, Name};

/// Time for which live targets may still be missing after the store is back.
const RETURN_TIME: Duration = Duration::from_millis(2_300);

/// Removals that are held back, and the time until which more of them are.
#[derive(Debug, Default)]
pub struct Lapses {
    doubtful: Option<Instant>,
    held: Map<Name, (u64, Instant)>,
}

impl Lapses {
    /// Takes note that the store did not answer, or that what it said before is unknown.
    pub fn store_away(&mut self, now: Instant) {
        self.doubtful = Some(now + RETURN_TIME);
    }

    /// Holds a removal back if it may be a lapse; false if it is to be believed at once.
    pub fn hold(&mut self, id: &Name, revision: u64, now: Instant) -> bool {
        let Some(until) = self.doubtful.filter(|until| now < *until) else { return false };
        self.held.insert(id.clone(), (revision, until));
        true
    }

    /// Takes note that a target is announced.
    pub fn announced(&mut self, id: &Name) {
        self.held.remove(id);
    }

    /// Removals that turned out to be true.
    pub fn due(&mut self, now: Instant) -> Vec<(Name, u64)> {
        // While the store stays away its live targets can't come back.
        if let Some(until) = self.doubtful {
            for (_, release) in self.held.values_mut() {
                *release = (*release).max(until);
            }
        }
        let due = self.held.extract_if(|_, (_, until)| now >= *until);
        due.map(|(id, (revision, _))| (id, revision)).collect()
    }
}

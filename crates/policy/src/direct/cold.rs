//! Request rate limit of a cold target.
//!
//! The limit applies to the sum over all hosts in any second. Each host stays within an equal
//! share, so that the sum holds without coordination, even while hosts can't reach each other.

use std::time::{Duration, Instant};

/// Share of the limit that all hosts together use. The margin absorbs requests that arrive
/// bunched because their network delays differ.
const UTILIZATION: f64 = 0.8;

/// One host's share of the request rate of a cold target.
#[derive(Clone, Debug)]
pub struct ColdLimit {
    next: Option<Instant>,
}

impl ColdLimit {
    /// Limit with no request sent yet.
    pub fn new() -> Self {
        Self { next: None }
    }

    /// Admits a request if it fits into this host's share of `rate` requests per second.
    pub fn try_acquire(&mut self, rate: f64, hosts: usize, now: Instant) -> bool {
        if self.next.is_some_and(|next| now < next) {
            return false;
        }
        let share = rate * UTILIZATION / hosts.max(1) as f64;
        self.next = Some(now + Duration::from_secs_f64((1.0 / share.max(1e-3)).min(1e3)));
        true
    }
}

impl Default for ColdLimit {
    fn default() -> Self {
        Self::new()
    }
}

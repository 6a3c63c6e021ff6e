//! How many requests a cold target gets from one host.
//!
//! The limit binds the sum over all hosts in any second. Each host keeps to an equal share of it,
//! whether or not it hears of the others, so that the sum holds without asking anybody.

use std::time::{Duration, Instant};

/// Share of the limit that all hosts together use, so that requests which were on their way
/// longer than others do not add up beyond it.
const USED: f64 = 0.8;

/// Requests to one cold target, one host's share.
#[derive(Clone, Debug)]
pub struct ColdLimit {
    next: Option<Instant>,
}

impl ColdLimit {
    /// Nothing sent yet.
    pub fn new() -> Self {
        Self { next: None }
    }

    /// Takes a place for a request now, if this host's share of `rate` requests a second has room.
    pub fn try_acquire(&mut self, rate: f64, hosts: usize, now: Instant) -> bool {
        if self.next.is_some_and(|next| now < next) {
            return false;
        }
        let share = rate * USED / hosts.max(1) as f64;
        self.next = Some(now + Duration::from_secs_f64((1.0 / share.max(1e-3)).min(1e3)));
        true
    }
}

impl Default for ColdLimit {
    fn default() -> Self {
        Self::new()
    }
}

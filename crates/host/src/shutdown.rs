//! Planned stops.
//!
//! A leaving host announces it, refuses new work as not run, asks its callers to close their
//! connections, finishes what it has, and ends within a bound.

use std::sync::atomic::{AtomicBool, Ordering};

/// Whether the host is leaving.
#[derive(Debug, Default)]
pub(crate) struct Leaving(AtomicBool);

impl Leaving {
    /// Whether the host is leaving.
    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Lets every part know that the host is leaving.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

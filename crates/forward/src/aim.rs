//! The time at which a query is answered with the parts that are in.

use std::cell::Cell;
use std::time::Instant;

use tokio::sync::Notify;

/// Latest time for an answer that meets the caller's latency objective.
///
/// A gatherer counts it from the arrival of the query, so that for this host it ends later than for
/// the one that asked, which can bring it forward.
pub(crate) struct Aim {
    at: Cell<Instant>,
    changed: Notify,
}

impl Aim {
    pub(crate) fn new(at: Instant) -> Self {
        Self { at: Cell::new(at), changed: Notify::new() }
    }

    pub(crate) fn at(&self) -> Instant {
        self.at.get()
    }

    /// Brings the time forward; a later one changes nothing.
    pub(crate) fn bring_forward(&self, to: Instant) {
        if to < self.at.get() {
            self.at.set(to);
            self.changed.notify_one();
        }
    }

    /// Waits until the time is brought forward; for one waiter.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }
}

//! Keeps the volume of the log bounded under load.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Lines of one kind that are written a second.
const LINES: u32 = 20;

const PERIOD: Duration = Duration::from_secs(1);

/// Whether one more line of a kind may be written.
#[derive(Debug, Default)]
pub(crate) struct LogLimit {
    period: Cell<Option<Instant>>,
    written: Cell<u32>,
    suppressed: Cell<u32>,
}

impl LogLimit {
    /// Number of lines that were left out before this one; `None` if this one is left out too.
    pub(crate) fn admit(&self, now: Instant) -> Option<u32> {
        if self.period.get().is_none_or(|start| now >= start + PERIOD) {
            self.period.set(Some(now));
            self.written.set(0);
        }
        if self.written.get() >= LINES {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        Some(self.suppressed.take())
    }
}

//! Rate limit of log lines, which bounds the volume of the log under load.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Most lines of one kind in a period.
const MAX_LINES: u32 = 20;

const PERIOD: Duration = Duration::from_secs(1);

/// Rate limiter of one kind of log lines.
#[derive(Debug, Default)]
pub(crate) struct LogLimit {
    period: Cell<Option<Instant>>,
    written: Cell<u32>,
    suppressed: Cell<u32>,
}

impl LogLimit {
    /// Admits a line and returns the number of lines suppressed before it; `None` if it is
    /// suppressed too.
    pub(crate) fn admit(&self, now: Instant) -> Option<u32> {
        if self.period.get().is_none_or(|start| now >= start + PERIOD) {
            self.period.set(Some(now));
            self.written.set(0);
        }
        if self.written.get() >= MAX_LINES {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        Some(self.suppressed.take())
    }
}

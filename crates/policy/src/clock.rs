//! The time as an interface.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Source of the time.
pub trait Clock: Send + Sync {
    /// Monotonic time, for timeouts and measurements.
    fn now(&self) -> Instant;

    /// Time since the Unix epoch, for deadlines that other machines must understand.
    fn unix(&self) -> Duration;
}

/// The operating system's clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn unix(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}

//! The time as an interface.

use std::sync::{Mutex, PoisonError};
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
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}

/// A clock that stands still until it is told to move, for tests.
///
/// ```
/// use std::time::Duration;
/// use sapphirerack_policy::{Clock, ManualClock};
///
/// let clock = ManualClock::default();
/// let start = clock.now();
/// clock.advance(Duration::from_secs(5));
/// assert_eq!(clock.now() - start, Duration::from_secs(5));
/// ```
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    passed: Mutex<Duration>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self { start: Instant::now(), passed: Mutex::default() }
    }
}

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, time: Duration) {
        *self.passed.lock().unwrap_or_else(PoisonError::into_inner) += time;
    }

    fn passed(&self) -> Duration {
        *self.passed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.passed()
    }

    fn unix(&self) -> Duration {
        self.passed()
    }
}

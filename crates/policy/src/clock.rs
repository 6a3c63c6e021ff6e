//! Injectable clocks.

use std::sync::{LazyLock, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Source of the time.
pub trait Clock: Send + Sync {
    /// Monotonic time, for timeouts and measurements.
    fn now(&self) -> Instant;

    /// Monotonic time that goes on while the machine is suspended, for the age of what is known of
    /// the store and of other machines. It is not comparable with [`Clock::now`].
    fn boot_time(&self) -> Instant {
        self.now()
    }

    /// Time since the Unix epoch, for deadlines that are sent to other machines.
    fn unix(&self) -> Duration;
}

/// A pair of simultaneous times, before or at the first use of the clock.
static START: LazyLock<(Instant, Duration)> = LazyLock::new(|| (Instant::now(), since_boot()));

/// Time since the machine was started, including that in which it was suspended.
fn since_boot() -> Duration {
    clock_gettime(ClockId::Boottime).try_into().unwrap_or_default()
}

/// The operating system's clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn boot_time(&self) -> Instant {
        let (start, boot) = *START;
        start + since_boot().saturating_sub(boot)
    }

    fn unix(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}

/// A clock for tests that changes only by [`ManualClock::advance`].
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
    elapsed: Mutex<Duration>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self { start: Instant::now(), elapsed: Mutex::default() }
    }
}

impl ManualClock {
    /// Moves the clock forward by `time`.
    pub fn advance(&self, time: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += time;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn unix(&self) -> Duration {
        self.elapsed()
    }
}

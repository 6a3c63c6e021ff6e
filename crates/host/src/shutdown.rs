//! Planned stops.
//!
//! A leaving host announces it, refuses new work as not run, asks its callers to close their
//! connections, finishes what it has, and ends within a bound.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::{Error, Result};

const WAIT_PAUSE: Duration = Duration::from_millis(10);

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

/// Waits until the process is told to stop.
pub(crate) fn await_signal() -> Result<()> {
    let signals = Signals::new([SIGTERM, SIGINT]);
    let mut signals = signals.map_err(|e| Error::io("wait for signals", "process", e))?;
    signals.forever().next();
    Ok(())
}

/// Waits until `done`, at most until the limit; tells whether it is.
pub(crate) fn wait_until(limit: Instant, done: impl Fn() -> bool) -> bool {
    while !done() {
        if Instant::now() >= limit {
            return false;
        }
        thread::sleep(WAIT_PAUSE);
    }
    true
}

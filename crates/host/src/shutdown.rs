//! Graceful shutdown.
//!
//! A leaving host announces that it leaves, rejects new work as not run, asks its callers to close
//! their connections, finishes its work in flight, and ends within a time limit.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::{Error, Result};

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Flag that is set once the host is leaving.
#[derive(Debug, Default)]
pub(crate) struct Leaving(AtomicBool);

impl Leaving {
    /// Whether the host is leaving.
    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Marks the host as leaving.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Waits for SIGTERM or SIGINT.
pub(crate) fn await_signal() -> Result<()> {
    let signals = Signals::new([SIGTERM, SIGINT]);
    let mut signals = signals.map_err(|e| Error::io("wait for signals", "process", e))?;
    signals.forever().next();
    Ok(())
}

/// Waits until `done` or the time limit; returns whether it is done.
pub(crate) fn wait_until(limit: Instant, done: impl Fn() -> bool) -> bool {
    while !done() {
        if Instant::now() >= limit {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
    true
}

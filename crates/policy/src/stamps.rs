//! When a message of another host was sent at the earliest.
//!
//! A datagram may wait in a socket or on its way for any time, most of all while a process is
//! frozen, so an age in it is known only as of the time at which it was sent. Every datagram carries
//! a stamp of its sender's clock, and the reply to it echoes the stamp. The reply was sent after the
//! stamp was made, so that an age in it, counted from that time on, is never too low.

use std::time::{Duration, Instant};

/// Bound of the random first stamp. It keeps a restarted process from taking the echo of a stamp of
/// the process before it for one of its own.
const FIRST_BOUND: u64 = 1 << 48;

/// Stamps of one process: milliseconds since its start, on a random base.
#[derive(Debug)]
pub(crate) struct Stamps {
    first: u64,
    start: Instant,
}

impl Stamps {
    /// Stamps of a process that starts at `start`.
    pub(crate) fn new(start: Instant, rng: &mut fastrand::Rng) -> Self {
        Self { first: rng.u64(..FIRST_BOUND), start }
    }

    /// Stamp of the present time.
    pub(crate) fn make(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.start).as_millis();
        self.first.saturating_add(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Time at which a stamp was made; `None` if this process has not made it.
    pub(crate) fn time(&self, stamp: u64, now: Instant) -> Option<Instant> {
        let elapsed = Duration::from_millis(stamp.checked_sub(self.first)?);
        self.start.checked_add(elapsed).filter(|at| *at <= now)
    }
}

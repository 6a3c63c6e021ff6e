//! Which share of the queries an overloaded shard is asked for.
//!
//! The load that this answers: a shard has lost replicas, and what is left of it can't answer
//! every query in time. If all are sent there, its queue grows until all are late. A share of the
//! queries is kept away instead, so that those that are sent are answered in time. A target that
//! fails is not overloaded: turning queries away does not mend it.

use std::time::{Duration, Instant};

/// Weight of a new outcome in the share of outcomes that missed the aim.
const GAIN: f64 = 0.1;

/// Share of missed aims above which a shard counts as overloaded.
const OVERLOADED: f64 = 0.25;

/// Factor of the admitted share for each missed aim while the shard is overloaded.
const DECREASE: f64 = 0.92;

/// Growth of the admitted share a second.
const INCREASE: f64 = 0.12;

/// Least admitted share, so that a recovery is seen.
const LEAST: f64 = 0.1;

/// Time until a share has grown by `by`, if no more aims are missed.
pub(super) fn growth_time(by: f64) -> Duration {
    Duration::from_secs_f64((by / INCREASE).clamp(0.0, 1.0 / INCREASE))
}

/// Share of the queries that one shard is asked for.
#[derive(Clone, Debug)]
pub struct Admission {
    share: f64,
    missed: f64,
    updated: Instant,
}

impl Admission {
    /// Admits all.
    pub fn new(now: Instant) -> Self {
        Self { share: 1.0, missed: 0.0, updated: now }
    }

    /// Takes note whether a part came within the aim.
    pub fn record(&mut self, in_time: bool, now: Instant) {
        self.grow(now);
        let missed = if in_time { 0.0 } else { 1.0 };
        self.missed += GAIN * (missed - self.missed);
        if !in_time && self.missed > OVERLOADED {
            self.share = (self.share * DECREASE).max(LEAST);
        }
    }

    /// Share of the queries that the shard is asked for, 0 to 1.
    pub fn share(&self, now: Instant) -> f64 {
        (self.share + INCREASE * self.idle(now).as_secs_f64()).min(1.0)
    }

    fn idle(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.updated)
    }

    fn grow(&mut self, now: Instant) {
        self.share = self.share(now);
        self.updated = now;
    }
}

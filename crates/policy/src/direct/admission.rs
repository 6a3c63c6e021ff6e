//! Share of queries that an overloaded shard admits.
//!
//! The remaining replicas of a shard that has lost some can't answer every query in time. If all
//! queries were sent, the queue would grow until every answer is late. Sending only a share keeps
//! the answers to these in time. The share follows lateness, not errors: a target that fails does
//! not recover by getting fewer queries.

use std::time::{Duration, Instant};

/// EWMA weight of a new outcome in the share of late parts.
const GAIN: f64 = 0.1;

/// Share of late parts above which a shard is overloaded.
const OVERLOAD_THRESHOLD: f64 = 0.25;

/// Multiplicative decrease of the admitted share for each late part during overload.
const DECREASE: f64 = 0.92;

/// Additive increase of the admitted share per second.
const INCREASE: f64 = 0.12;

/// Least admitted share; the admitted queries detect a recovery.
const MIN_SHARE: f64 = 0.1;

/// Time in which a share grows by `by` if no further part is late.
pub(super) fn growth_time(by: f64) -> Duration {
    Duration::from_secs_f64((by / INCREASE).clamp(0.0, 1.0 / INCREASE))
}

/// Admitted share of queries for one shard.
#[derive(Clone, Debug)]
pub struct Admission {
    share: f64,
    late: f64,
    updated: Instant,
}

impl Admission {
    /// Admits all queries.
    pub fn new(now: Instant) -> Self {
        Self { share: 1.0, late: 0.0, updated: now }
    }

    /// Records whether a part met the latency objective.
    pub fn record(&mut self, in_time: bool, now: Instant) {
        self.grow(now);
        let late = if in_time { 0.0 } else { 1.0 };
        self.late += GAIN * (late - self.late);
        if !in_time && self.late > OVERLOAD_THRESHOLD {
            self.share = (self.share * DECREASE).max(MIN_SHARE);
        }
    }

    /// Adopts the share that another host admits, which sends the queries for this one.
    pub fn adopt(&mut self, share: f64, now: Instant) {
        self.share = share.clamp(MIN_SHARE, 1.0);
        self.updated = now;
    }

    /// Admitted share of queries, 0 to 1.
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

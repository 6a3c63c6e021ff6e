//! State of one target in its group: limits, load and snapshots.

use std::time::{Duration, Instant};

use fastrand::Rng;
use sapphirerack_catalogue::{Name, Target};

use crate::ramp::{COLD_SUCCESSES, Ramp};
use crate::{Outcome, SnapshotId};

/// Connections kept free at a target for cancellations and health checks by the owner of its group
/// and the backup.
const RESERVED_CONNECTIONS: u32 = 2;

/// Multiple of the median latency above which a response counts against the target.
const SLOW_FACTOR: u32 = 5;

/// Multiple of the median latency above which a response is no evidence that the target is warm.
const ORDINARY_FACTOR: u32 = 2;

/// A target with its concurrency limits and state.
#[derive(Clone, Debug)]
pub(crate) struct GroupReplica {
    pub target: Target,
    pub ramp: Ramp,
    /// Requests that may still run at the target.
    pub in_flight: u32,
    /// Snapshots that it holds; `None` if unknown.
    pub snapshots: Option<Vec<SnapshotId>>,
    /// Requests that it has completed for this host, counted up to [`COLD_SUCCESSES`].
    completed: u32,
    /// Concurrency limit from the host's share of the target.
    pub share: u32,
}

/// Concurrency limit of a warm target: slots and waiting requests, bounded by its connections.
pub fn full_limit(target: &Target, waiting: u32) -> u32 {
    let connections = target.connections.saturating_sub(RESERVED_CONNECTIONS).max(1);
    (target.slots + waiting).min(connections)
}

impl GroupReplica {
    pub(crate) fn new(target: Target, waiting: u32, rng: &mut Rng) -> Self {
        let ramp = Ramp::new(target.cold, full_limit(&target, waiting), rng);
        Self { target, ramp, in_flight: 0, snapshots: None, completed: 0, share: u32::MAX }
    }

    pub(crate) fn name(&self) -> &Name {
        &self.target.name
    }

    /// Concurrency limit of the host at the target.
    pub(crate) fn limit(&self) -> u32 {
        self.ramp.level().min(self.share)
    }

    /// Whether the target can be sent a request for a snapshot now.
    pub(crate) fn is_free(&self, now: Instant, snapshot: Option<SnapshotId>) -> bool {
        self.in_flight < self.limit()
            && self.may_have_snapshot(snapshot)
            && self.ramp.backoff_end(now).is_none()
    }

    /// Whether the target holds a snapshot, or its snapshots are unknown.
    pub(crate) fn may_have_snapshot(&self, snapshot: Option<SnapshotId>) -> bool {
        snapshot.is_none_or(|id| self.snapshots.as_ref().is_none_or(|s| s.contains(&id)))
    }

    /// Fraction of the limit in use.
    pub(crate) fn load(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.limit().max(1))
    }

    /// Whether `time` is an ordinary latency while the target is recovering from a failure.
    pub(crate) fn is_uninformative(&self, time: Duration, median: Option<Duration>) -> bool {
        let is_ordinary = median.is_none_or(|m| time <= m * ORDINARY_FACTOR);
        is_ordinary && self.ramp.is_recovering()
    }

    /// Whether the target has completed too few requests to be warm; its latency is no evidence.
    pub(crate) fn is_new(&self) -> bool {
        self.completed < COLD_SUCCESSES
    }

    /// Updates the ramp with the outcome of a request that took `time`.
    pub(crate) fn record_outcome(
        &mut self,
        now: Instant,
        outcome: &Outcome,
        time: Duration,
        median: Option<Duration>,
        rng: &mut Rng,
    ) {
        let exceeds = |factor| median.is_some_and(|m| time > m * factor);
        let is_slow = exceeds(SLOW_FACTOR);
        if matches!(outcome, Outcome::Answered | Outcome::Cancelled | Outcome::Late) {
            self.completed = (self.completed + 1).min(COLD_SUCCESSES);
        }
        match outcome {
            Outcome::Answered | Outcome::Cancelled if is_slow => self.ramp.record_slow(rng),
            Outcome::Answered if exceeds(ORDINARY_FACTOR) => {}
            Outcome::Answered => self.ramp.record_success(rng),
            Outcome::Late => self.ramp.record_slow(rng),
            Outcome::Failed | Outcome::Lost => self.ramp.record_failure(now, rng),
            Outcome::Cancelled | Outcome::NoSnapshot => {}
        }
    }
}

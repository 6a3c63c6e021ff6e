//! One target as the owner of its group sees it.

use std::time::{Duration, Instant};

use fastrand::Rng;
use sapphirerack_catalogue::{Name, Target};

use crate::ramp::{COLD_SUCCESSES, Ramp};
use crate::{Outcome, SnapshotId};

/// Connections that are kept free at a target for cancellations and health, by both owners.
const CONTROL_CONNECTIONS: u32 = 2;

/// Multiple of the median latency above which an answer is far too slow.
const SLOW_FACTOR: u32 = 5;

/// Multiple of the median latency above which an answer is no evidence of a warm target.
const ORDINARY_FACTOR: u32 = 2;

/// A target with its limits and what is known of it.
#[derive(Clone, Debug)]
pub(crate) struct Lane {
    pub target: Target,
    pub ramp: Ramp,
    /// Requests that may still run at the target.
    pub running: u32,
    /// Snapshots that it holds; `None` if that is unknown.
    pub held: Option<Vec<SnapshotId>>,
    /// Requests that it has run for this host, up to those of a first warm-up.
    ran: u32,
    /// Most requests that the host's share of the target allows.
    pub share: u32,
}

/// Requests that a target may have at the same time: slots and waiting, within its connections.
pub fn full_limit(target: &Target, waiting: u32) -> u32 {
    let connections = target.connections.saturating_sub(CONTROL_CONNECTIONS).max(1);
    (target.slots + waiting).min(connections)
}

impl Lane {
    pub(crate) fn new(target: Target, waiting: u32, rng: &mut Rng) -> Self {
        let ramp = Ramp::new(target.cold, full_limit(&target, waiting), rng);
        Self { target, ramp, running: 0, held: None, ran: 0, share: u32::MAX }
    }

    pub(crate) fn name(&self) -> &Name {
        &self.target.name
    }

    /// Requests that the host may have at the target at the same time.
    pub(crate) fn limit(&self) -> u32 {
        self.ramp.level().min(self.share)
    }

    /// Whether the target may be sent a request for a snapshot now.
    pub(crate) fn is_free(&self, now: Instant, snapshot: Option<SnapshotId>) -> bool {
        self.running < self.limit() && self.may_hold(snapshot) && self.ramp.rest(now).is_none()
    }

    /// Whether the target may hold a snapshot, as far as is known.
    pub(crate) fn may_hold(&self, snapshot: Option<SnapshotId>) -> bool {
        snapshot.is_none_or(|id| self.held.as_ref().is_none_or(|held| held.contains(&id)))
    }

    /// Share of the limit in use.
    pub(crate) fn load(&self) -> f64 {
        f64::from(self.running) / f64::from(self.limit().max(1))
    }

    /// Whether an answer is one in ordinary time while the target recovers from a failure.
    pub(crate) fn is_protected(&self, time: Duration, median: Option<Duration>) -> bool {
        let is_ordinary = median.is_none_or(|m| time <= m * ORDINARY_FACTOR);
        is_ordinary && self.ramp.is_recovering()
    }

    /// Whether the target has run too few requests to be warm; its latency tells nothing yet.
    pub(crate) fn is_new(&self) -> bool {
        self.ran < COLD_SUCCESSES
    }

    /// Takes note of how a request ended after `time`.
    pub(crate) fn judge(
        &mut self,
        now: Instant,
        outcome: &Outcome,
        time: Duration,
        median: Option<Duration>,
        rng: &mut Rng,
    ) {
        let is_above = |factor| median.is_some_and(|m| time > m * factor);
        let is_slow = is_above(SLOW_FACTOR);
        if matches!(outcome, Outcome::Answered | Outcome::Cancelled | Outcome::Late) {
            self.ran = (self.ran + 1).min(COLD_SUCCESSES);
        }
        match outcome {
            Outcome::Answered | Outcome::Cancelled if is_slow => self.ramp.slowed(rng),
            Outcome::Answered if is_above(ORDINARY_FACTOR) => {}
            Outcome::Answered => self.ramp.succeeded(rng),
            Outcome::Late => self.ramp.slowed(rng),
            Outcome::Failed | Outcome::Lost => self.ramp.failed(now, rng),
            Outcome::Cancelled | Outcome::NoSnapshot => {}
        }
    }
}

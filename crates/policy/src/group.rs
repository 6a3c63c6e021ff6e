//! State machine of the host that owns a group of replicas.
//!
//! Events are method calls that pass the time in; [`Group::step`] returns the resulting actions.
//! Jobs wait in a queue ordered by deadline. The requests in flight to a target are limited by its
//! ramp and by the host's share of it. A request counts as in flight until the target answers or
//! the deadline passes, at which point the target drops it. A job whose response takes longer than
//! a high quantile of the group's own latency, measured from dispatch, is hedged on a second
//! replica, ahead of the queue; a job whose target failed is retried on another. Hedges and
//! retries share one budget. The losing requests of a hedged job are cancelled.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use fastrand::Rng;
use sapphirerack_catalogue::{Map, Name, Target};

use crate::budget::{Budget, split_extra};
use crate::group_replica::{GroupReplica, full_limit};
use crate::latency::Latency;
use crate::{Action, Denial, Job, Outcome, SnapshotId, TargetFilter, Tuning};

/// Interval at which hedges and retries that found no free target are tried again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Reason for a request beyond the first of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExtraKind {
    Hedge,
    Retry,
}

/// A job that is queued or in flight.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) job: Job,
    pub(crate) in_flight: Vec<u64>,
    pub(crate) tried: Vec<Name>,
    pub(crate) due: Option<(Instant, ExtraKind)>,
    pub(crate) failure: Denial,
}

/// A request that was sent to a target.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) job: u64,
    pub(crate) target: Name,
    pub(crate) start: Instant,
    pub(crate) deadline: Instant,
    /// Whether it ended as [`Outcome::Lost`], so that the target may still run it.
    pub(crate) lost: bool,
}

/// Queue, requests in flight and limits of one group.
#[derive(Debug)]
pub struct Group {
    pub(crate) tuning: Tuning,
    pub(crate) replicas: Vec<GroupReplica>,
    pub(crate) jobs: Map<u64, JobState>,
    pub(crate) queue: BTreeSet<(Instant, u64)>,
    pub(crate) deadlines: BTreeSet<(Instant, u64)>,
    pub(crate) due: BTreeSet<(Instant, u64)>,
    pub(crate) attempts: Map<u64, Attempt>,
    pub(crate) lost: BTreeSet<(Instant, u64)>,
    pub(crate) budget: Budget,
    pub(crate) latency: Latency,
    pub(crate) rng: Rng,
    pub(crate) next: u64,
    pub(crate) actions: Vec<Action>,
}

/// While no target takes requests, a job waits at most 1/4 of its remaining time.
const MAX_WAIT_DIVISOR: u32 = 4;

/// Whether `start`, the earliest possible dispatch, is so late that the job should go elsewhere.
pub(crate) fn exceeds_max_wait(now: Instant, start: Option<Instant>, deadline: Instant) -> bool {
    let max_wait = deadline.saturating_duration_since(now) / MAX_WAIT_DIVISOR;
    start.is_some_and(|at| at > now + max_wait)
}

impl Group {
    /// Creates a group whose targets are all cold.
    pub fn new(targets: &[Target], tuning: Tuning, seed: u64) -> Self {
        let mut group = Self {
            tuning,
            replicas: Vec::new(),
            jobs: Map::default(),
            queue: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            due: BTreeSet::new(),
            attempts: Map::default(),
            lost: BTreeSet::new(),
            budget: Budget::new(split_extra(tuning.extra, targets.len()).0, tuning.burst),
            latency: Latency::new(tuning.quantile),
            rng: Rng::with_seed(seed),
            next: 0,
            actions: Vec::new(),
        };
        group.set_targets(targets);
        group
    }

    /// Replaces the targets; those with the same name, address and version keep their state.
    pub fn set_targets(&mut self, targets: &[Target]) {
        let mut old = std::mem::take(&mut self.replicas);
        for target in targets {
            let same = |r: &GroupReplica| {
                r.target.name == target.name
                    && r.target.address == target.address
                    && r.target.version == target.version
            };
            let replica = match old.iter().position(same) {
                Some(i) => {
                    let mut replica = old.swap_remove(i);
                    replica.ramp.set_limits(target.cold, full_limit(target, self.tuning.waiting));
                    replica.target = target.clone();
                    replica
                }
                None => {
                    let mut replica =
                        GroupReplica::new(target.clone(), self.tuning.waiting, &mut self.rng);
                    replica.in_flight = self.attempts_at(&target.name);
                    replica
                }
            };
            self.replicas.push(replica);
        }
        self.budget.set_share(split_extra(self.tuning.extra, targets.len()).0);
    }

    /// Sets the most requests that this host may have in flight to a target.
    pub fn set_share(&mut self, target: &str, share: u32) {
        if let Some(replica) = self.replica(target) {
            replica.share = share;
        }
    }

    /// Records the snapshots that a target holds.
    pub fn set_snapshots(&mut self, target: &str, snapshots: Vec<SnapshotId>) {
        if let Some(replica) = self.replica(target) {
            replica.snapshots = Some(snapshots);
        }
    }

    /// Records the snapshots that the target of `attempt` reported in its response.
    pub fn update_snapshots(&mut self, attempt: u64, snapshots: Vec<SnapshotId>) {
        if let Some(target) = self.attempts.get(&attempt).map(|a| a.target.clone()) {
            self.set_snapshots(&target, snapshots);
        }
    }

    /// Snapshots that at least one target holds.
    pub fn snapshots(&self) -> Vec<SnapshotId> {
        let all = self.replicas.iter().filter_map(|r| r.snapshots.as_ref()).flatten();
        let sorted: BTreeSet<SnapshotId> = all.copied().collect();
        sorted.into_iter().collect()
    }

    /// Requests in flight to a target.
    pub fn in_flight(&self, target: &str) -> u32 {
        self.replicas.iter().find(|r| **r.name() == *target).map_or(0, |r| r.in_flight)
    }

    /// Concurrency limit that the ramp of a target sets at present.
    pub fn level(&self, target: &str) -> u32 {
        self.replicas.iter().find(|r| **r.name() == *target).map_or(0, |r| r.ramp.level())
    }

    /// Whether a response after `time` is no evidence of a target's health under load: its latency
    /// is ordinary, but the target is held at its cold limit after a failure.
    pub fn is_uninformative(&self, target: &str, time: Duration) -> bool {
        let median = self.latency.median();
        self.replicas.iter().any(|r| **r.name() == *target && r.is_uninformative(time, median))
    }

    /// Whether a target has completed too few requests to be warm; its latency is no evidence yet.
    pub fn is_new(&self, target: &str) -> bool {
        self.replicas.iter().any(|r| **r.name() == *target && r.is_new())
    }

    /// Names of the targets.
    pub fn targets(&self) -> impl Iterator<Item = &Name> {
        self.replicas.iter().map(GroupReplica::name)
    }

    /// Whether no job is queued and no request is in flight.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.attempts.is_empty()
    }

    /// Whether a job for a snapshot would be dispatched immediately.
    pub fn has_capacity(&self, now: Instant, snapshot: Option<SnapshotId>) -> bool {
        let free = self.replicas.iter().filter(|r| r.is_free(now, snapshot));
        let capacity: u32 = free.map(|r| r.limit().saturating_sub(r.in_flight)).sum();
        self.queue.len() < capacity as usize
    }

    /// Number of queued jobs; `u32::MAX` while every target is in backoff or fully occupied by lost
    /// requests.
    pub fn waiting(&self, now: Instant) -> u32 {
        if self.earliest_start(now).is_some() {
            return u32::MAX;
        }
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Queues a job, or denies it: no target may hold its snapshot, all targets are blocked for too
    /// long, or its deadline can't be met.
    pub fn submit(&mut self, now: Instant, job: Job) {
        self.budget.earn();
        let id = job.id;
        if !self.replicas.iter().any(|r| r.may_have_snapshot(job.snapshot)) {
            return self.deny(id, Denial::NoSnapshot);
        }
        let is_blocked = exceeds_max_wait(now, self.earliest_start(now), job.deadline);
        if is_blocked || self.estimated_end(now, job.deadline) > job.deadline {
            return self.deny(id, Denial::Overloaded);
        }
        self.queue.insert((job.deadline, id));
        self.deadlines.insert((job.deadline, id));
        let state = JobState {
            job,
            in_flight: Vec::new(),
            tried: Vec::new(),
            due: None,
            failure: Denial::Overloaded,
        };
        self.jobs.insert(id, state);
    }

    /// Drops a job and cancels its requests, unless it is an at-most-once job that was dispatched.
    pub fn cancel(&mut self, job: u64) {
        if self.jobs.get(&job).is_some_and(|s| s.job.single_attempt && !s.tried.is_empty()) {
            return;
        }
        if let Some(state) = self.remove(job) {
            self.cancel_all(&state.in_flight);
        }
    }

    /// Records the outcome of a request.
    pub fn finished(&mut self, now: Instant, attempt: u64, outcome: Outcome) {
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let time = now.saturating_duration_since(entry.start);
        let (job, target) = (entry.job, entry.target.clone());
        if outcome == Outcome::Lost && now < entry.deadline {
            entry.lost = true;
            self.lost.insert((entry.deadline, attempt));
        } else {
            self.attempts.remove(&attempt);
            self.release(&target);
        }
        if outcome == Outcome::NoSnapshot {
            self.remove_snapshot(job, &target);
        }
        self.record_outcome(now, &target, outcome, time);
        self.reply_or_retry(now, job, attempt, outcome);
    }

    /// Returns the actions that are due. `filter` tells whether a job may be sent to a target.
    pub fn step(&mut self, now: Instant, filter: TargetFilter<'_>) -> Vec<Action> {
        self.release_lost(now);
        self.expire(now);
        self.dispatch_extra(now, filter);
        self.dispatch_queue(now, filter);
        std::mem::take(&mut self.actions)
    }

    /// Time at which [`Group::step`] must be called if no event comes before.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let backoff_ends = self.replicas.iter().filter_map(|r| r.ramp.backoff_end(now));
        let times = [
            self.deadlines.first().map(|(at, _)| *at),
            self.due.first().map(|(at, _)| (*at).max(now + RECHECK_INTERVAL)),
            self.lost.first().map(|(at, _)| *at),
            backoff_ends.min().filter(|_| !self.queue.is_empty()),
        ];
        times.into_iter().flatten().min()
    }

    fn replica(&mut self, target: &str) -> Option<&mut GroupReplica> {
        self.replicas.iter_mut().find(|r| **r.name() == *target)
    }

    fn attempts_at(&self, target: &str) -> u32 {
        let count = self.attempts.values().filter(|a| *a.target == *target).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Estimated completion of a job that joins the queue now.
    fn estimated_end(&self, now: Instant, deadline: Instant) -> Instant {
        let Some(median) = self.latency.median() else {
            return now;
        };
        let capacity: u32 = self.replicas.iter().map(GroupReplica::limit).sum();
        let key = (deadline, u64::MAX);
        let is_last = self.queue.last().is_none_or(|last| *last < key);
        let ahead = if is_last { self.queue.len() } else { self.queue.range(..key).count() };
        let rounds = 1.0 + ahead as f64 / f64::from(capacity.max(1));
        now + median.mul_f64(rounds)
    }

    /// Earliest time at which some target can be sent a job, if that is later than now: all targets
    /// are in backoff or fully occupied by lost requests.
    pub(crate) fn earliest_start(&self, now: Instant) -> Option<Instant> {
        let start = |replica: &GroupReplica| {
            let lost = self.lost.iter().filter(|(_, a)| self.is_at(*a, replica.name()));
            let lost: Vec<Instant> = lost.map(|(at, _)| *at).collect();
            let freed =
                replica.in_flight.saturating_sub(u32::try_from(lost.len()).unwrap_or(u32::MAX));
            let is_occupied = replica.in_flight >= replica.limit() && freed == 0;
            let expiry = lost.first().copied().filter(|_| is_occupied);
            expiry.max(replica.ramp.backoff_end(now)).unwrap_or(now)
        };
        let replicas = self.replicas.iter().filter(|r| r.limit() > 0);
        replicas.map(start).min().filter(|at| *at > now)
    }

    fn is_at(&self, attempt: u64, target: &str) -> bool {
        self.attempts.get(&attempt).is_some_and(|a| *a.target == *target)
    }

    fn deny(&mut self, job: u64, denial: Denial) {
        self.actions.push(Action::Reply { job, result: Err(denial), extra: 0 });
    }

    pub(crate) fn remove(&mut self, job: u64) -> Option<JobState> {
        let state = self.jobs.remove(&job)?;
        let key = (state.job.deadline, job);
        self.queue.remove(&key);
        self.deadlines.remove(&key);
        if let Some((at, _)) = state.due {
            self.due.remove(&(at, job));
        }
        Some(state)
    }

    pub(crate) fn reply(&mut self, job: u64, result: Result<u64, Denial>) {
        let Some(state) = self.remove(job) else { return };
        let extra = u32::try_from(state.tried.len().saturating_sub(1)).unwrap_or(u32::MAX);
        if !state.job.single_attempt {
            let in_flight = state.in_flight.into_iter();
            let losers: Vec<u64> = in_flight.filter(|a| Ok(*a) != result).collect();
            self.cancel_all(&losers);
        }
        self.actions.push(Action::Reply { job, result, extra });
    }

    fn cancel_all(&mut self, attempts: &[u64]) {
        for attempt in attempts {
            if let Some(entry) = self.attempts.get(attempt).filter(|e| !e.lost) {
                let target = entry.target.clone();
                self.actions.push(Action::Cancel { attempt: *attempt, target });
            }
        }
    }

    /// Records that a target lacks the snapshot of a job, whatever its health check reported.
    fn remove_snapshot(&mut self, job: u64, target: &str) {
        let snapshot = self.jobs.get(&job).and_then(|s| s.job.snapshot);
        if let Some(snapshots) = self.replica(target).and_then(|r| r.snapshots.as_mut()) {
            snapshots.retain(|id| Some(*id) != snapshot);
        }
    }

    fn release(&mut self, target: &str) {
        if let Some(replica) = self.replica(target) {
            replica.in_flight = replica.in_flight.saturating_sub(1);
        }
    }

    fn record_outcome(&mut self, now: Instant, target: &Name, outcome: Outcome, time: Duration) {
        if matches!(outcome, Outcome::Answered | Outcome::Cancelled | Outcome::Late) {
            self.latency.record(time);
        }
        let median = self.latency.median();
        if let Some(replica) = self.replicas.iter_mut().find(|r| r.name() == target) {
            replica.record_outcome(now, &outcome, time, median, &mut self.rng);
        }
    }

    /// Replies to the job of a request that ended, or schedules a retry.
    fn reply_or_retry(&mut self, now: Instant, job: u64, attempt: u64, outcome: Outcome) {
        let Some(state) = self.jobs.get_mut(&job) else { return };
        state.in_flight.retain(|a| *a != attempt);
        state.failure = match outcome {
            Outcome::Answered => return self.reply(job, Ok(attempt)),
            Outcome::NoSnapshot => Denial::NoSnapshot,
            Outcome::Late => Denial::Timeout,
            Outcome::Failed | Outcome::Lost | Outcome::Cancelled => Denial::Target,
        };
        if state.job.single_attempt {
            let failure = state.failure;
            self.reply(job, Err(failure));
        } else if state.in_flight.is_empty() {
            self.schedule(job, Some((now, ExtraKind::Retry)));
        }
    }

    pub(crate) fn schedule(&mut self, job: u64, due: Option<(Instant, ExtraKind)>) {
        let Some(state) = self.jobs.get_mut(&job) else { return };
        if let Some((at, _)) = state.due.take() {
            self.due.remove(&(at, job));
        }
        state.due = due;
        if let Some((at, _)) = due {
            self.due.insert((at, job));
        }
    }

    fn release_lost(&mut self, now: Instant) {
        while let Some((at, attempt)) = self.lost.first().copied()
            && at <= now
        {
            self.lost.remove(&(at, attempt));
            if let Some(entry) = self.attempts.remove(&attempt) {
                self.release(&entry.target);
            }
        }
    }
}

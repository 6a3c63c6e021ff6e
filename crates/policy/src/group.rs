//! The owner of a group of replicas, as a state machine.
//!
//! Events come in by calls with the time; [`Group::step`] then tells what to do. Jobs wait in a
//! queue ordered by deadline. A target gets as many requests as its ramp and the host's share
//! allow, and a request counts until the target answered it or its deadline passed, as the target
//! drops it then. A job whose answer takes longer than a high quantile of the group's own
//! latency, counted from dispatch, is sent to a second replica, ahead of the queue; a job whose
//! target failed is retried on another. Both draw on one budget. Losers are cancelled.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use fastrand::Rng;
use sapphirerack_catalogue::{Map, Name, Target};

use crate::budget::{Budget, split};
use crate::lane::{Lane, full_limit};
use crate::latency::Latency;
use crate::{Action, Admits, Denial, Job, Outcome, SnapshotId, Tuning};

/// Pause before a blocked hedge or retry is looked at again if nothing else happens.
const BLOCKED_PAUSE: Duration = Duration::from_millis(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Extra {
    Hedge,
    Retry,
}

#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) job: Job,
    pub(crate) running: Vec<u64>,
    pub(crate) tried: Vec<Name>,
    pub(crate) due: Option<(Instant, Extra)>,
    pub(crate) failure: Denial,
}

#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) job: u64,
    pub(crate) target: Name,
    pub(crate) start: Instant,
    pub(crate) deadline: Instant,
    pub(crate) lost: bool,
}

/// The owner's side of one group.
#[derive(Debug)]
pub struct Group {
    pub(crate) tuning: Tuning,
    pub(crate) lanes: Vec<Lane>,
    pub(crate) jobs: Map<u64, Work>,
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

/// Part of a job's time for which it waits at most while no target takes any.
const BLOCKED_PART: u32 = 4;

/// Whether a job had better be sent elsewhere than wait for a target until `start`.
pub(crate) fn is_too_long(now: Instant, start: Option<Instant>, deadline: Instant) -> bool {
    let patience = deadline.saturating_duration_since(now) / BLOCKED_PART;
    start.is_some_and(|at| at > now + patience)
}

impl Group {
    /// Group of the given targets, all of them cold.
    pub fn new(targets: &[Target], tuning: Tuning, seed: u64) -> Self {
        let mut group = Self {
            tuning,
            lanes: Vec::new(),
            jobs: Map::default(),
            queue: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            due: BTreeSet::new(),
            attempts: Map::default(),
            lost: BTreeSet::new(),
            budget: Budget::new(split(tuning.extra, targets.len()).0, tuning.burst),
            latency: Latency::new(tuning.quantile),
            rng: Rng::with_seed(seed),
            next: 0,
            actions: Vec::new(),
        };
        group.set_targets(targets);
        group
    }

    /// Changes the targets; those that stay keep what is known of them.
    pub fn set_targets(&mut self, targets: &[Target]) {
        let mut old = std::mem::take(&mut self.lanes);
        for target in targets {
            let same = |l: &Lane| {
                l.target.name == target.name
                    && l.target.address == target.address
                    && l.target.version == target.version
            };
            let lane = match old.iter().position(same) {
                Some(i) => {
                    let mut lane = old.swap_remove(i);
                    lane.ramp.set_limits(target.cold, full_limit(target, self.tuning.waiting));
                    lane.target = target.clone();
                    lane
                }
                None => {
                    let mut lane = Lane::new(target.clone(), self.tuning.waiting, &mut self.rng);
                    lane.running = self.outstanding(&target.name);
                    lane
                }
            };
            self.lanes.push(lane);
        }
        self.budget.set_share(split(self.tuning.extra, targets.len()).0);
    }

    /// Limits the requests that this host may have at a target.
    pub fn set_share(&mut self, target: &str, share: u32) {
        if let Some(lane) = self.lane(target) {
            lane.share = share;
        }
    }

    /// Takes note of the snapshots that a target holds.
    pub fn set_held(&mut self, target: &str, held: Vec<SnapshotId>) {
        if let Some(lane) = self.lane(target) {
            lane.held = Some(held);
        }
    }

    /// Takes note of the snapshots that the target of a request told in its answer.
    pub fn learn_held(&mut self, attempt: u64, held: Vec<SnapshotId>) {
        if let Some(target) = self.attempts.get(&attempt).map(|a| a.target.clone()) {
            self.set_held(&target, held);
        }
    }

    /// Snapshots that at least one target holds.
    pub fn held(&self) -> Vec<SnapshotId> {
        let all = self.lanes.iter().filter_map(|l| l.held.as_ref()).flatten();
        let sorted: BTreeSet<SnapshotId> = all.copied().collect();
        sorted.into_iter().collect()
    }

    /// Requests that may still run at a target.
    pub fn running(&self, target: &str) -> u32 {
        self.lanes.iter().find(|l| **l.name() == *target).map_or(0, |l| l.running)
    }

    /// Requests that a target may be given at the same time, as its ramp stands.
    pub fn level(&self, target: &str) -> u32 {
        self.lanes.iter().find(|l| **l.name() == *target).map_or(0, |l| l.ramp.level())
    }

    /// Whether an answer of a target, in ordinary time, tells nothing of how it fares under load:
    /// it is held at its cold limit after a failure.
    pub fn is_protected(&self, target: &str, time: Duration) -> bool {
        let median = self.latency.median();
        self.lanes.iter().any(|l| **l.name() == *target && l.is_protected(time, median))
    }

    /// Whether a target has run too few requests to be warm, so that its latency tells nothing.
    pub fn is_new(&self, target: &str) -> bool {
        self.lanes.iter().any(|l| **l.name() == *target && l.is_new())
    }

    /// Names of the targets.
    pub fn targets(&self) -> impl Iterator<Item = &Name> {
        self.lanes.iter().map(Lane::name)
    }

    /// Whether nothing waits and nothing runs.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.attempts.is_empty()
    }

    /// Whether a job for a snapshot would be sent at once.
    pub fn has_place(&self, now: Instant, snapshot: Option<SnapshotId>) -> bool {
        let free = self.lanes.iter().filter(|l| l.is_free(now, snapshot));
        let places: u32 = free.map(|l| l.limit().saturating_sub(l.running)).sum();
        self.queue.len() < places as usize
    }

    /// Jobs that wait; the highest number if no target can be sent anything for now.
    pub fn waiting(&self, now: Instant) -> u32 {
        if self.earliest_start(now).is_some() {
            return u32::MAX;
        }
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Takes a job into the queue, or denies it.
    pub fn submit(&mut self, now: Instant, job: Job) {
        self.budget.earn();
        let id = job.id;
        if !self.lanes.iter().any(|l| l.may_hold(job.snapshot)) {
            return self.deny(id, Denial::NoSnapshot);
        }
        let is_blocked = is_too_long(now, self.earliest_start(now), job.deadline);
        if is_blocked || self.expected_end(now, job.deadline) > job.deadline {
            return self.deny(id, Denial::Overloaded);
        }
        self.queue.insert((job.deadline, id));
        self.deadlines.insert((job.deadline, id));
        let work = Work {
            job,
            running: Vec::new(),
            tried: Vec::new(),
            due: None,
            failure: Denial::Overloaded,
        };
        self.jobs.insert(id, work);
    }

    /// Drops a job whose answer is no longer wanted, and cancels its requests.
    pub fn cancel(&mut self, job: u64) {
        if self.jobs.get(&job).is_some_and(|w| w.job.once && !w.tried.is_empty()) {
            return;
        }
        if let Some(work) = self.remove(job) {
            self.cancel_all(&work.running);
        }
    }

    /// Takes note of how a request ended.
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
            self.forget_snapshot(job, &target);
        }
        self.judge(now, &target, outcome, time);
        self.settle(now, job, attempt, outcome);
    }

    /// Tells what to do now. `admits` tells whether a job may go to a target.
    pub fn step(&mut self, now: Instant, admits: Admits<'_>) -> Vec<Action> {
        self.free_lost(now);
        self.expire(now);
        self.dispatch_extra(now, admits);
        self.dispatch_queue(now, admits);
        std::mem::take(&mut self.actions)
    }

    /// Time at which [`Group::step`] is to be called if nothing else happens.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let rests = self.lanes.iter().filter_map(|l| l.ramp.rest(now));
        let times = [
            self.deadlines.first().map(|(at, _)| *at),
            self.due.first().map(|(at, _)| (*at).max(now + BLOCKED_PAUSE)),
            self.lost.first().map(|(at, _)| *at),
            rests.min().filter(|_| !self.queue.is_empty()),
        ];
        times.into_iter().flatten().min()
    }

    fn lane(&mut self, target: &str) -> Option<&mut Lane> {
        self.lanes.iter_mut().find(|l| **l.name() == *target)
    }

    fn outstanding(&self, target: &str) -> u32 {
        let count = self.attempts.values().filter(|a| *a.target == *target).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Expected end of a job that joins the queue now.
    fn expected_end(&self, now: Instant, deadline: Instant) -> Instant {
        let Some(median) = self.latency.median() else {
            return now;
        };
        let places: u32 = self.lanes.iter().map(Lane::limit).sum();
        let key = (deadline, u64::MAX);
        let is_last = self.queue.last().is_none_or(|last| *last < key);
        let ahead = if is_last { self.queue.len() } else { self.queue.range(..key).count() };
        let rounds = 1.0 + ahead as f64 / f64::from(places.max(1));
        now + median.mul_f64(rounds)
    }

    /// Time at which some target may be sent a job at the earliest, if it is known to be later
    /// than now: all of them rest or are held by requests that were lost.
    pub(crate) fn earliest_start(&self, now: Instant) -> Option<Instant> {
        let start = |lane: &Lane| {
            let lost = self.lost.iter().filter(|(_, a)| self.is_at(*a, lane.name()));
            let lost: Vec<Instant> = lost.map(|(at, _)| *at).collect();
            let freed = lane.running.saturating_sub(u32::try_from(lost.len()).unwrap_or(u32::MAX));
            let is_held = lane.running >= lane.limit() && freed == 0;
            let held = lost.first().copied().filter(|_| is_held);
            held.max(lane.ramp.rest(now)).unwrap_or(now)
        };
        let lanes = self.lanes.iter().filter(|l| l.limit() > 0);
        lanes.map(start).min().filter(|at| *at > now)
    }

    fn is_at(&self, attempt: u64, target: &str) -> bool {
        self.attempts.get(&attempt).is_some_and(|a| *a.target == *target)
    }

    fn deny(&mut self, job: u64, denial: Denial) {
        self.actions.push(Action::Reply { job, result: Err(denial), extra: 0 });
    }

    pub(crate) fn remove(&mut self, job: u64) -> Option<Work> {
        let work = self.jobs.remove(&job)?;
        let key = (work.job.deadline, job);
        self.queue.remove(&key);
        self.deadlines.remove(&key);
        if let Some((at, _)) = work.due {
            self.due.remove(&(at, job));
        }
        Some(work)
    }

    pub(crate) fn reply(&mut self, job: u64, result: Result<u64, Denial>) {
        let Some(work) = self.remove(job) else { return };
        let extra = u32::try_from(work.tried.len().saturating_sub(1)).unwrap_or(u32::MAX);
        if !work.job.once {
            let running = work.running.into_iter();
            let losers: Vec<u64> = running.filter(|a| Ok(*a) != result).collect();
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

    /// Takes note that a target does not hold the snapshot of a job, whatever its health says.
    fn forget_snapshot(&mut self, job: u64, target: &str) {
        let snapshot = self.jobs.get(&job).and_then(|w| w.job.snapshot);
        if let Some(held) = self.lane(target).and_then(|l| l.held.as_mut()) {
            held.retain(|id| Some(*id) != snapshot);
        }
    }

    fn release(&mut self, target: &str) {
        if let Some(lane) = self.lane(target) {
            lane.running = lane.running.saturating_sub(1);
        }
    }

    fn judge(&mut self, now: Instant, target: &Name, outcome: Outcome, time: Duration) {
        if matches!(outcome, Outcome::Answered | Outcome::Cancelled | Outcome::Late) {
            self.latency.record(time);
        }
        let median = self.latency.median();
        if let Some(lane) = self.lanes.iter_mut().find(|l| l.name() == target) {
            lane.judge(now, &outcome, time, median, &mut self.rng);
        }
    }

    /// Answers the job of an ended request, or arranges for a retry.
    fn settle(&mut self, now: Instant, job: u64, attempt: u64, outcome: Outcome) {
        let Some(work) = self.jobs.get_mut(&job) else { return };
        work.running.retain(|a| *a != attempt);
        work.failure = match outcome {
            Outcome::Answered => return self.reply(job, Ok(attempt)),
            Outcome::NoSnapshot => Denial::NoSnapshot,
            Outcome::Late => Denial::Timeout,
            Outcome::Failed | Outcome::Lost | Outcome::Cancelled => Denial::Target,
        };
        if work.job.once {
            let failure = work.failure;
            self.reply(job, Err(failure));
        } else if work.running.is_empty() {
            self.schedule(job, Some((now, Extra::Retry)));
        }
    }

    pub(crate) fn schedule(&mut self, job: u64, due: Option<(Instant, Extra)>) {
        let Some(work) = self.jobs.get_mut(&job) else { return };
        if let Some((at, _)) = work.due.take() {
            self.due.remove(&(at, job));
        }
        work.due = due;
        if let Some((at, _)) = due {
            self.due.insert((at, job));
        }
    }

    fn free_lost(&mut self, now: Instant) {
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

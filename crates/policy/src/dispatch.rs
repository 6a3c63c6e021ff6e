//! Dispatch of the jobs of a group: choice of the target, hedges, retries and expiry.

use std::cmp::Ordering;
use std::time::Instant;

use crate::group::{Attempt, ExtraKind, Group, JobState, exceeds_max_wait};
use crate::{Action, Denial, TargetFilter};

/// Limit of requests for one job, with hedges and retries.
const MAX_ATTEMPTS: usize = 3;

impl Group {
    /// Denies jobs past their deadline, and queued ones that can't meet it or are blocked for too
    /// long.
    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some((deadline, job)) = self.deadlines.first().copied()
            && deadline <= now
        {
            let started = self.jobs.get(&job).is_some_and(|s| !s.tried.is_empty());
            self.reply(job, Err(if started { Denial::Timeout } else { Denial::Overloaded }));
        }
        let start = self.earliest_start(now);
        let blocked = |(deadline, _): &&(Instant, u64)| exceeds_max_wait(now, start, *deadline);
        let blocked: Vec<u64> = self.queue.iter().filter(blocked).map(|(_, job)| *job).collect();
        blocked.into_iter().for_each(|job| self.reply(job, Err(Denial::Overloaded)));
        let Some(median) = self.latency.median() else { return };
        while let Some((deadline, job)) = self.queue.first().copied()
            && deadline < now + median
        {
            self.reply(job, Err(Denial::Overloaded));
        }
    }

    pub(crate) fn dispatch_extra(&mut self, now: Instant, filter: TargetFilter<'_>) {
        let due: Vec<u64> =
            self.due.iter().take_while(|(at, _)| *at <= now).map(|(_, job)| *job).collect();
        for job in due {
            self.try_extra(now, job, filter);
        }
    }

    fn try_extra(&mut self, now: Instant, job: u64, filter: TargetFilter<'_>) {
        let Some(state) = self.jobs.get(&job) else { return };
        let Some((_, kind)) = state.due else { return };
        let eligible = state.tried.len() < MAX_ATTEMPTS && self.has_untried(state, filter);
        let failure = state.failure;
        let replica = if eligible { self.least_loaded(now, job, filter) } else { None };
        if eligible && replica.is_none() {
            return;
        }
        self.schedule(job, None);
        let mut spend = || match kind {
            ExtraKind::Hedge => self.budget.hedge(),
            ExtraKind::Retry => self.budget.retry(),
        };
        match replica.filter(|_| spend()) {
            Some(replica) => self.dispatch(now, job, replica, true),
            _ if kind == ExtraKind::Retry => self.reply(job, Err(failure)),
            _ => {}
        }
    }

    /// Whether some untried target could serve the job.
    fn has_untried(&self, state: &JobState, filter: TargetFilter<'_>) -> bool {
        self.replicas.iter().any(|r| {
            r.limit() > 0
                && !state.tried.contains(r.name())
                && r.may_have_snapshot(state.job.snapshot)
                && filter(state.job.id, &r.target)
        })
    }

    /// The least loaded target that can be sent the job now; ties are broken at random.
    fn least_loaded(&mut self, now: Instant, job: u64, filter: TargetFilter<'_>) -> Option<usize> {
        let state = self.jobs.get(&job)?;
        // A target that failed is tried again only while the budget allows a retry elsewhere, or
        // while no target is healthy.
        let allow_unhealthy =
            self.budget.can_retry() || !self.replicas.iter().any(|r| r.ramp.is_healthy());
        let mut best: Option<(usize, f64)> = None;
        let mut ties = 1;
        for (i, replica) in self.replicas.iter().enumerate() {
            let is_allowed = allow_unhealthy || replica.ramp.is_healthy();
            let is_free = is_allowed && replica.is_free(now, state.job.snapshot);
            if !is_free || state.tried.contains(replica.name()) || !filter(job, &replica.target) {
                continue;
            }
            let load = replica.load();
            let least = best.map_or(f64::INFINITY, |(_, least)| least);
            ties = match load.total_cmp(&least) {
                Ordering::Less => 1,
                Ordering::Equal => ties + 1,
                Ordering::Greater => continue,
            };
            if self.rng.u32(0..ties) == 0 {
                best = Some((i, load));
            }
        }
        best.map(|(i, _)| i)
    }

    pub(crate) fn dispatch_queue(&mut self, now: Instant, filter: TargetFilter<'_>) {
        let mut blocked = Vec::new();
        while self
            .replicas
            .iter()
            .any(|r| r.in_flight < r.limit() && r.ramp.backoff_end(now).is_none())
            && let Some((deadline, job)) = self.queue.pop_first()
        {
            match self.least_loaded(now, job, filter) {
                Some(replica) => self.dispatch(now, job, replica, false),
                None if self.can_wait(job, filter) => blocked.push((deadline, job)),
                None => self.reply(job, Err(Denial::Overloaded)),
            }
        }
        self.queue.extend(blocked);
    }

    /// Whether some target could serve the job once it has capacity.
    fn can_wait(&self, job: u64, filter: TargetFilter<'_>) -> bool {
        self.jobs.get(&job).is_some_and(|state| self.has_untried(state, filter))
    }

    fn dispatch(&mut self, now: Instant, job: u64, replica: usize, extra: bool) {
        let Some(state) = self.jobs.get_mut(&job) else { return };
        let attempt = self.next;
        self.next += 1;
        let replica = &mut self.replicas[replica];
        replica.in_flight += 1;
        let target = replica.name().clone();
        state.in_flight.push(attempt);
        state.tried.push(target.clone());
        let (deadline, single_attempt) = (state.job.deadline, state.job.single_attempt);
        let entry = Attempt { job, target: target.clone(), start: now, deadline, lost: false };
        self.attempts.insert(attempt, entry);
        self.actions.push(Action::Dispatch { attempt, job, target, extra });
        if let Some(delay) =
            self.latency.high().filter(|_| !extra && !single_attempt && self.replicas.len() > 1)
        {
            self.schedule(job, Some((now + delay, ExtraKind::Hedge)));
        }
    }
}

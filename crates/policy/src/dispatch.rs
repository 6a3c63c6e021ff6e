//! Which job the owner of a group sends to which target.

use std::cmp::Ordering;
use std::time::Instant;

use crate::group::{Attempt, Extra, Group, Work, is_too_long};
use crate::{Action, Admits, Denial};

/// Most requests to targets for one job.
const ATTEMPTS: usize = 3;

impl Group {
    /// Denies queued jobs that can't be answered in time, and running ones whose time is over.
    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some((deadline, job)) = self.deadlines.first().copied()
            && deadline <= now
        {
            let started = self.jobs.get(&job).is_some_and(|w| !w.tried.is_empty());
            self.reply(job, Err(if started { Denial::Timeout } else { Denial::Overloaded }));
        }
        let start = self.earliest_start(now);
        let blocked = |(deadline, _): &&(Instant, u64)| is_too_long(now, start, *deadline);
        let blocked: Vec<u64> = self.queue.iter().filter(blocked).map(|(_, job)| *job).collect();
        blocked.into_iter().for_each(|job| self.reply(job, Err(Denial::Overloaded)));
        let Some(median) = self.latency.median() else { return };
        while let Some((deadline, job)) = self.queue.first().copied()
            && deadline < now + median
        {
            self.reply(job, Err(Denial::Overloaded));
        }
    }

    pub(crate) fn dispatch_extra(&mut self, now: Instant, admits: Admits<'_>) {
        let due: Vec<u64> =
            self.due.iter().take_while(|(at, _)| *at <= now).map(|(_, job)| *job).collect();
        for job in due {
            self.extra(now, job, admits);
        }
    }

    fn extra(&mut self, now: Instant, job: u64, admits: Admits<'_>) {
        let Some(work) = self.jobs.get(&job) else { return };
        let Some((_, kind)) = work.due else { return };
        let eligible = work.tried.len() < ATTEMPTS && self.has_other(work, admits);
        let failure = work.failure;
        let lane = if eligible { self.place(now, job, admits) } else { None };
        if eligible && lane.is_none() {
            return;
        }
        self.schedule(job, None);
        let mut spend = || match kind {
            Extra::Hedge => self.budget.hedge(),
            Extra::Retry => self.budget.retry(),
        };
        match lane.filter(|_| spend()) {
            Some(lane) => self.dispatch(now, job, lane, true),
            _ if kind == Extra::Retry => self.reply(job, Err(failure)),
            _ => {}
        }
    }

    /// Whether a target that has not been tried could serve the job.
    fn has_other(&self, work: &Work, admits: Admits<'_>) -> bool {
        self.lanes.iter().any(|l| {
            l.limit() > 0
                && !work.tried.contains(l.name())
                && l.may_hold(work.job.snapshot)
                && admits(work.job.id, &l.target)
        })
    }

    /// The least loaded target that may be sent the job now.
    fn place(&mut self, now: Instant, job: u64, admits: Admits<'_>) -> Option<usize> {
        let work = self.jobs.get(&job)?;
        // A target that failed is tried again only while a retry elsewhere can be paid for.
        let may_fail = self.budget.can_retry() || !self.lanes.iter().any(|l| l.ramp.is_proven());
        let mut best: Option<(usize, f64)> = None;
        let mut ties = 1;
        for (i, lane) in self.lanes.iter().enumerate() {
            let is_trusted = may_fail || lane.ramp.is_proven();
            let is_free = is_trusted && lane.is_free(now, work.job.snapshot);
            if !is_free || work.tried.contains(lane.name()) || !admits(job, &lane.target) {
                continue;
            }
            let load = lane.load();
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

    pub(crate) fn dispatch_queue(&mut self, now: Instant, admits: Admits<'_>) {
        let mut blocked = Vec::new();
        while self.lanes.iter().any(|l| l.running < l.limit() && l.ramp.rest(now).is_none())
            && let Some((deadline, job)) = self.queue.pop_first()
        {
            match self.place(now, job, admits) {
                Some(lane) => self.dispatch(now, job, lane, false),
                None if self.can_wait(job, admits) => blocked.push((deadline, job)),
                None => self.reply(job, Err(Denial::Overloaded)),
            }
        }
        self.queue.extend(blocked);
    }

    /// Whether some target could serve the job once it has a free place.
    fn can_wait(&self, job: u64, admits: Admits<'_>) -> bool {
        self.jobs.get(&job).is_some_and(|work| self.has_other(work, admits))
    }

    fn dispatch(&mut self, now: Instant, job: u64, lane: usize, extra: bool) {
        let Some(work) = self.jobs.get_mut(&job) else { return };
        let attempt = self.next;
        self.next += 1;
        let lane = &mut self.lanes[lane];
        lane.running += 1;
        let target = lane.name().clone();
        work.running.push(attempt);
        work.tried.push(target.clone());
        let (deadline, once) = (work.job.deadline, work.job.once);
        let entry = Attempt { job, target: target.clone(), start: now, deadline, lost: false };
        self.attempts.insert(attempt, entry);
        self.actions.push(Action::Dispatch { attempt, job, target, extra });
        if let Some(delay) = self.latency.high().filter(|_| !extra && !once && self.lanes.len() > 1)
        {
            self.schedule(job, Some((now + delay, Extra::Hedge)));
        }
    }
}

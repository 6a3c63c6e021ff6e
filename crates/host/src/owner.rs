//! Runs sub-queries and claimed bookings at the targets that this host owns.
//!
//! One thread drives the state machines of all groups (the targets of one shard in this data
//! centre): it handles requests and the reports of the target workers, and executes the actions of
//! the state machines.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Map, Name, Shard, Target, TargetState};
use sapphirerack_policy::booking::AttemptOutcome;
use sapphirerack_policy::{Action, Clock, Denial, Group, Job, Outcome, Tuning, full_limit};
use sapphirerack_protocol::{ClaimedBooking, Failure, Reply, ShardResults, SubQuery, SubReply};

use crate::calls::{Calls, ReplyTo};
use crate::config::View;
use crate::metrics::Metrics;
use crate::routing::Routing;
use crate::spans::Spans;
use crate::target_workers::{
    Completion, Report, ReportHandler, TargetRequest, TargetWorkers, WRONG_PARTITIONS,
};
use crate::versions::{self, Versions};
use crate::work::Work;
use crate::{Error, Result};

/// Draw that admits the old version of a shift but never the new one.
const OLD_VERSION_DRAW: f64 = 1.0;

/// Time in the queue after which a request drawn for a shift's new version may go to the old one.
const FALLBACK_WAIT: Duration = Duration::from_millis(5);

/// Maximum number of further events handled before the state machines are stepped.
const EVENT_BATCH: usize = 64;

/// A request to the owner, or a report of its target workers.
pub(crate) enum OwnerEvent {
    /// Lists the snapshots that a shard's replicas hold.
    Describe { service: Name, shard: Name, reply_to: ReplyTo },
    /// Runs a sub-query.
    Search(SubQuery, ReplyTo),
    /// Sends a claimed booking to one target.
    Book(ClaimedBooking, ReplyTo),
    /// Cancels a request, unless it is a booking that was dispatched.
    Cancel(ReplyTo),
    /// Report on a target of the group with this index.
    Report(usize, Report),
}

/// Shared components and settings that [`Owner`] uses.
pub(crate) struct Context {
    pub clock: Arc<dyn Clock>,
    pub routing: Arc<Routing>,
    pub calls: Arc<Calls>,
    pub versions: Arc<Versions>,
    pub metrics: Arc<Metrics>,
    pub data_centre: Name,
    pub tuning: Tuning,
}

/// Runs sub-queries and claimed bookings at the targets that this host owns.
pub(crate) struct Owner {
    context: Context,
    reports: flume::Sender<OwnerEvent>,
    /// Index of the group of each service and shard; `None` if the shard has no target here.
    group_indices: Map<(Name, Name), Option<usize>>,
    groups: Vec<GroupEntry>,
    /// Times at which groups must be stepped.
    wakes: BTreeSet<(Instant, usize)>,
    /// Groups to step after the current events.
    dirty: BTreeSet<usize>,
    jobs: Map<u64, PendingJob>,
    /// Ids of pending jobs by the destination of their reply.
    by_reply: Map<ReplyTo, u64>,
    next: u64,
    view: Arc<View>,
}

/// A group with the workers of its targets.
struct GroupEntry {
    group: Group,
    workers: Vec<TargetWorkers>,
    span: sapphirerack_catalogue::Span,
    deadline: Duration,
    /// Requests at the targets by attempt.
    sent: Map<u64, SentRequest>,
    spans: Spans,
    wake: Option<Instant>,
}

/// A job that has no reply yet.
struct PendingJob {
    work: Arc<Work>,
    reply_to: ReplyTo,
    /// Index of its group.
    index: usize,
    /// Random draw that selects the version if a shift is in progress.
    draw: f64,
    /// Time from which the job may go to the old version whatever its draw.
    fallback_at: Instant,
    dispatched: bool,
}

/// A request that was sent to a target.
struct SentRequest {
    job: u64,
    id: Arc<str>,
    work: Arc<Work>,
    version: Name,
    target: Name,
    cancelled: bool,
    results: Option<ShardResults>,
}

impl Owner {
    pub(crate) fn new(context: Context, reports: flume::Sender<OwnerEvent>) -> Self {
        Self {
            context,
            reports,
            group_indices: Map::default(),
            groups: Vec::new(),
            wakes: BTreeSet::new(),
            dirty: BTreeSet::new(),
            jobs: Map::default(),
            by_reply: Map::default(),
            next: 0,
            view: Arc::default(),
        }
    }

    /// Handles events on a dedicated thread.
    pub(crate) fn spawn(mut self, events: flume::Receiver<OwnerEvent>) -> Result<()> {
        let run = move || {
            while self.run_once(&events) {}
        };
        let builder = thread::Builder::new().name("owner".into());
        builder.spawn(run).map(drop).map_err(|e| Error::io("start thread", "owner", e))
    }

    /// Waits for events, handles them, and steps the affected groups; false once all senders are
    /// gone.
    fn run_once(&mut self, events: &flume::Receiver<OwnerEvent>) -> bool {
        let first = match self.wakes.first() {
            Some((at, _)) => events.recv_deadline(*at).map_err(|e| e.to_string()),
            None => events.recv().map_err(|e| e.to_string()),
        };
        if first.is_err() && events.is_disconnected() {
            return false;
        }
        self.sync_groups();
        first.into_iter().chain(events.try_iter().take(EVENT_BATCH)).for_each(|e| self.handle(e));
        let now = self.context.clock.now();
        while let Some((at, index)) = self.wakes.first().copied()
            && at <= now
        {
            self.wakes.remove(&(at, index));
            self.dirty.insert(index);
        }
        for index in std::mem::take(&mut self.dirty) {
            self.step(index, now);
        }
        true
    }

    fn handle(&mut self, event: OwnerEvent) {
        match event {
            OwnerEvent::Describe { service, shard, reply_to } => {
                let index = self.group_index(&service, &shard);
                let held = index.map(|i| self.groups[i].group.snapshots()).unwrap_or_default();
                self.context.calls.reply(reply_to, Reply::Described(held));
            }
            OwnerEvent::Search(query, reply_to) => self.submit(Work::Search(query), reply_to),
            OwnerEvent::Book(claimed, reply_to) => self.submit(Work::Book(claimed), reply_to),
            OwnerEvent::Cancel(reply_to) => self.cancel(reply_to),
            OwnerEvent::Report(index, report) => self.handle_report(index, report),
        }
    }

    /// Updates the groups if the catalogue has changed.
    fn sync_groups(&mut self) {
        let view = self.context.routing.view();
        if Arc::ptr_eq(&view, &self.view) {
            return;
        }
        self.view = view.clone();
        let group_indices = std::mem::take(&mut self.group_indices);
        for ((service, shard), index) in group_indices {
            let Some(index) = index else { continue };
            let entry = view.catalogue.service(&service).and_then(|s| {
                Some((s.limits.deadline, s.shards.iter().find(|c| c.name == shard)?))
            });
            match entry {
                Some((deadline, entry)) => self.update_group(index, entry, deadline),
                None => self.clear_group(index),
            }
            self.group_indices.insert((service, shard), Some(index));
            self.dirty.insert(index);
        }
    }

    fn update_group(&mut self, index: usize, shard: &Shard, deadline: Duration) {
        let targets = self.local_targets(shard);
        let report = self.report_handler(index);
        let entry = &mut self.groups[index];
        let is_same_span = entry.span == shard.span;
        entry.span = shard.span;
        entry.deadline = deadline;
        entry.group.set_targets(&targets);
        let mut old = std::mem::take(&mut entry.workers);
        for target in &targets {
            let same = old.iter().position(|w| is_same_span && w.target == *target);
            entry.workers.push(match same {
                Some(i) => old.swap_remove(i),
                None => self.context.start_workers(target, shard.span, &report),
            });
        }
    }

    fn clear_group(&mut self, index: usize) {
        self.groups[index].group.set_targets(&[]);
        self.groups[index].workers.clear();
    }

    /// Index of a shard's group, which is started on first use; `None` if the shard has no active
    /// target in this data centre.
    fn group_index(&mut self, service: &Name, shard: &Name) -> Option<usize> {
        let key = (service.clone(), shard.clone());
        if let Some(index) = self.group_indices.get(&key) {
            return index.filter(|i| !self.groups[*i].workers.is_empty());
        }
        let view = self.context.routing.view();
        let entry = view.catalogue.service(service)?;
        let limit = entry.limits.deadline;
        let entry = entry.shards.iter().find(|s| s.name == *shard)?;
        let targets = self.local_targets(entry);
        let index = (!targets.is_empty()).then(|| self.start_group(entry, &targets, limit));
        self.group_indices.insert(key, index);
        index
    }

    fn local_targets(&self, shard: &Shard) -> Vec<Target> {
        let centre = &self.context.data_centre;
        let own = |t: &&Target| t.data_centre == *centre && t.state == TargetState::Active;
        shard.targets.iter().filter(own).cloned().collect()
    }

    fn start_group(&mut self, shard: &Shard, targets: &[Target], deadline: Duration) -> usize {
        let index = self.groups.len();
        let report = self.report_handler(index);
        let start = |t: &Target| self.context.start_workers(t, shard.span, &report);
        let workers = targets.iter().map(start).collect();
        let group = Group::new(targets, self.context.tuning, fastrand::u64(..));
        let span = shard.span;
        self.groups.push(GroupEntry {
            group,
            workers,
            span,
            deadline,
            sent: Map::default(),
            spans: Spans::default(),
            wake: None,
        });
        index
    }

    fn report_handler(&self, index: usize) -> ReportHandler {
        let reports = self.reports.clone();
        // The receiver lives as long as the process.
        Arc::new(move |report| drop(reports.send(OwnerEvent::Report(index, report))))
    }

    fn submit(&mut self, work: Work, reply_to: ReplyTo) {
        let Some(index) = self.group_index(work.service(), work.shard()) else {
            return self.reject(&work, reply_to, Failure::NotOwner);
        };
        let now = self.context.clock.now();
        let left = work.deadline().saturating_sub(self.context.clock.unix());
        let entry = &mut self.groups[index];
        if work.spills() && !entry.group.has_capacity(now, work.snapshot()) {
            let waiting = entry.group.waiting(now);
            return self.reject(&work, reply_to, Failure::Busy(waiting));
        }
        let deadline = now + left.min(entry.deadline);
        let id = self.next;
        self.next += 1;
        let job =
            Job { id, snapshot: work.snapshot(), deadline, single_attempt: work.is_booking() };
        let (work, draw) = (Arc::new(work), fastrand::f64());
        self.jobs.insert(
            id,
            PendingJob {
                work,
                reply_to,
                index,
                draw,
                fallback_at: now + FALLBACK_WAIT,
                dispatched: false,
            },
        );
        self.by_reply.insert(reply_to, id);
        entry.group.submit(now, job);
        self.dirty.insert(index);
    }

    fn cancel(&mut self, reply_to: ReplyTo) {
        let Some(id) = self.by_reply.get(&reply_to).copied() else { return };
        if self.jobs.get(&id).is_some_and(|pending| pending.work.is_booking() && pending.dispatched)
        {
            return;
        }
        self.by_reply.remove(&reply_to);
        if let Some(pending) = self.jobs.remove(&id) {
            self.groups[pending.index].group.cancel(id);
            self.dirty.insert(pending.index);
        }
    }

    fn handle_report(&mut self, index: usize, report: Report) {
        self.dirty.insert(index);
        match report {
            Report::Health { target, health } => {
                self.groups[index].group.set_snapshots(&target, health.held);
            }
            Report::Finished { attempt, time, completion } => {
                self.handle_finished(index, attempt, time, completion);
            }
        }
    }

    fn handle_finished(
        &mut self,
        index: usize,
        attempt: u64,
        time: Duration,
        mut completion: Completion,
    ) {
        let now = self.context.clock.now();
        let GroupEntry { group, sent, spans, workers, .. } = &mut self.groups[index];
        let Some(entry) = sent.get_mut(&attempt) else { return };
        if let Some(response) = &completion.response
            && completion.failure == Some(WRONG_PARTITIONS)
            && spans.confirm(response, &entry.target, workers.len())
        {
            (completion.outcome, completion.failure) = (Outcome::Answered, None);
        }
        let outcome = match completion.outcome {
            Outcome::Failed if entry.cancelled => Outcome::Cancelled,
            outcome => outcome,
        };
        if let Some(failure) = completion.failure.filter(|_| outcome != Outcome::Cancelled) {
            self.context.metrics.target_failed(failure);
        }
        // A success with ordinary latency at a target that is held at its cold limit after a
        // failure is no evidence of its version under load.
        let is_uninformative =
            outcome == Outcome::Answered && group.is_uninformative(&entry.target, time);
        if !is_uninformative && (outcome != Outcome::Cancelled || entry.cancelled) {
            // A cancelled request took at least the time until its cancellation; leaving it out
            // would make a slow version look fast.
            let ok = matches!(outcome, Outcome::Answered | Outcome::Cancelled);
            let time = (!group.is_new(&entry.target)).then_some(time);
            let outcome = versions::RequestOutcome { ok, time };
            let work = &entry.work;
            self.context.versions.record(work.service(), work.route(), &entry.version, outcome);
        }
        if let Some(response) = completion.response {
            if !response.held.is_empty() {
                group.update_snapshots(attempt, response.held);
            }
            let results = Box::<str>::from(response.results).into_string();
            entry.results =
                Some(ShardResults { snapshot: response.snapshot, span: response.span, results });
        }
        let (job, booking) = (entry.job, completion.booking);
        group.finished(now, attempt, outcome);
        if let Some(booking) = booking {
            self.reply_booking(job, booking);
        }
        self.step(index, now);
        self.groups[index].sent.remove(&attempt);
    }

    /// Steps a group and executes its actions.
    fn step(&mut self, index: usize, now: Instant) {
        let entry = &mut self.groups[index];
        let (jobs, versions) = (&self.jobs, &self.context.versions);
        let mut admits = |job: u64, target: &Target| {
            jobs.get(&job).is_some_and(|pending| {
                let work = &pending.work;
                // Retries, hedges and jobs that have waited long may go to the old version.
                let follows_draw = !pending.dispatched && now < pending.fallback_at;
                let draw = if follows_draw { pending.draw } else { OLD_VERSION_DRAW };
                versions.admits(work.service(), work.route(), &target.version, draw)
            })
        };
        let actions = entry.group.step(now, &mut admits);
        let wake = entry.group.next_wake(now);
        if let Some(old) = std::mem::replace(&mut entry.wake, wake) {
            self.wakes.remove(&(old, index));
        }
        self.wakes.extend(wake.map(|at| (at, index)));
        for action in actions {
            self.execute(index, action);
        }
    }

    fn execute(&mut self, index: usize, action: Action) {
        match action {
            Action::Dispatch { attempt, job, target, .. } => {
                self.dispatch(index, attempt, job, &target);
            }
            Action::Cancel { attempt, target } => {
                let entry = &mut self.groups[index];
                let Some(sent) = entry.sent.get_mut(&attempt) else { return };
                sent.cancelled = true;
                if let Some(workers) = entry.workers.iter().find(|w| w.target.name == target) {
                    workers.cancel(sent.id.clone());
                }
            }
            Action::Reply { job, result, extra } => self.reply(index, job, result, extra),
        }
    }

    fn dispatch(&mut self, index: usize, attempt: u64, job: u64, target: &Name) {
        let Some(pending) = self.jobs.get_mut(&job) else { return };
        pending.dispatched = true;
        let entry = &mut self.groups[index];
        let Some(workers) = entry.workers.iter().find(|w| w.target.name == *target) else {
            return;
        };
        let id: Arc<str> = format!("{:016x}", fastrand::u64(..)).into();
        let sent = SentRequest {
            id: id.clone(),
            job,
            work: pending.work.clone(),
            version: workers.target.version.clone(),
            target: target.clone(),
            cancelled: false,
            results: None,
        };
        entry.sent.insert(attempt, sent);
        let latest = self.context.clock.unix() + entry.deadline;
        let deadline = pending.work.deadline().min(latest);
        workers.send(TargetRequest { attempt, id, work: pending.work.clone(), deadline });
    }

    fn reply(
        &mut self,
        index: usize,
        job: u64,
        result: std::result::Result<u64, Denial>,
        extra: u32,
    ) {
        let awaits_booking = |pending: &PendingJob| pending.work.is_booking() && pending.dispatched;
        if self.jobs.get(&job).is_none_or(awaits_booking) {
            return;
        }
        let Some(pending) = self.jobs.remove(&job) else { return };
        self.by_reply.remove(&pending.reply_to);
        let entry = &mut self.groups[index];
        let mut results = |attempt| entry.sent.get_mut(&attempt)?.results.take();
        let outcome = match result {
            Ok(attempt) => results(attempt).ok_or(Failure::Target),
            Err(denial) => Err(failure(denial)),
        };
        match outcome {
            Err(failure) if pending.work.is_booking() => {
                self.reject(&pending.work, pending.reply_to, failure);
            }
            outcome => {
                let reply = SubReply { outcome, held: entry.group.snapshots(), extra };
                self.context.calls.reply(pending.reply_to, Reply::Found(reply));
            }
        }
    }

    /// Replies with the outcome of a booking that was sent to a target.
    fn reply_booking(&mut self, job: u64, outcome: AttemptOutcome) {
        if let Some(pending) = self.jobs.remove(&job) {
            self.by_reply.remove(&pending.reply_to);
            self.context.calls.reply(pending.reply_to, Reply::Ran(outcome));
        }
    }

    /// Replies to work that was not sent to any target.
    fn reject(&self, work: &Work, to: ReplyTo, failure: Failure) {
        let reply = match work {
            Work::Search(_) => {
                Reply::Found(SubReply { outcome: Err(failure), held: Vec::new(), extra: 0 })
            }
            Work::Book(_) => Reply::Ran(AttemptOutcome::NotRun),
        };
        self.context.calls.reply(to, reply);
    }
}

impl Context {
    fn start_workers(
        &self,
        target: &Target,
        span: sapphirerack_catalogue::Span,
        to: &ReportHandler,
    ) -> TargetWorkers {
        let limit = full_limit(target, self.tuning.waiting);
        TargetWorkers::start(target, span, limit, &self.clock, to)
    }
}

fn failure(denial: Denial) -> Failure {
    match denial {
        Denial::Overloaded => Failure::Overloaded,
        Denial::NoSnapshot => Failure::NoSnapshot,
        Denial::Timeout => Failure::Timeout,
        Denial::Target => Failure::Target,
    }
}

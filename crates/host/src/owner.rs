//! Sub-queries at the targets that this host owns.
//!
//! One thread drives the state machines of all groups (the targets of one shard in this data
//! centre): it takes requests and what the threads of the targets report, and carries out what
//! the state machines decide.

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
use crate::lanes::{Ending, Errand, Lane, Report, Reporter, WRONG_PARTITIONS};
use crate::metrics::Metrics;
use crate::routing::Routing;
use crate::spans::Spans;
use crate::versions::{self, Versions};
use crate::work::Work;
use crate::{Error, Result};

/// Draw that admits the old version of a shift and never the new one.
const LAST_DRAW: f64 = 1.0;

/// Time in the queue after which a request meant for a shift's new version may go to the old one.
const OVERFLOW_WAIT: Duration = Duration::from_millis(5);

/// Events that are taken before the state machines are asked what to do.
const BATCH: usize = 64;

/// What the owner is asked, or told by the threads of its targets.
pub(crate) enum OwnerRequest {
    /// Which snapshots a shard's replicas hold.
    Describe { service: Name, shard: Name, reply_to: ReplyTo },
    /// To run a sub-query.
    Search(SubQuery, ReplyTo),
    /// To send a claimed booking to one target.
    Book(ClaimedBooking, ReplyTo),
    /// To drop a sub-query whose answer is no longer wanted.
    Cancel(ReplyTo),
    /// What happened at a target of a group.
    Report(usize, Report),
}

/// What the owner works with.
pub(crate) struct Parts {
    pub clock: Arc<dyn Clock>,
    pub routing: Arc<Routing>,
    pub calls: Arc<Calls>,
    pub versions: Arc<Versions>,
    pub metrics: Arc<Metrics>,
    pub data_centre: Name,
    pub tuning: Tuning,
}

/// Runs sub-queries at the targets that this host owns.
pub(crate) struct Owner {
    parts: Parts,
    reports: flume::Sender<OwnerRequest>,
    places: Map<(Name, Name), Option<usize>>,
    groups: Vec<Replicas>,
    wakes: BTreeSet<(Instant, usize)>,
    dirty: BTreeSet<usize>,
    jobs: Map<u64, Open>,
    by_reply: Map<ReplyTo, u64>,
    next: u64,
    view: Arc<View>,
}

/// A group with the threads of its targets.
struct Replicas {
    group: Group,
    lanes: Vec<Lane>,
    span: sapphirerack_catalogue::Span,
    deadline: Duration,
    sent: Map<u64, Sent>,
    spans: Spans,
    wake: Option<Instant>,
}

/// A job whose answer is wanted.
struct Open {
    work: Arc<Work>,
    reply_to: ReplyTo,
    place: usize,
    draw: f64,
    /// Time from which the draw no longer binds it to the new version.
    overflow: Instant,
    sent: bool,
}

/// A request at a target.
struct Sent {
    job: u64,
    request: Arc<str>,
    work: Arc<Work>,
    version: Name,
    target: Name,
    cancelled: bool,
    part: Option<ShardResults>,
}

impl Owner {
    pub(crate) fn new(parts: Parts, reports: flume::Sender<OwnerRequest>) -> Self {
        Self {
            parts,
            reports,
            places: Map::default(),
            groups: Vec::new(),
            wakes: BTreeSet::new(),
            dirty: BTreeSet::new(),
            jobs: Map::default(),
            by_reply: Map::default(),
            next: 0,
            view: Arc::default(),
        }
    }

    /// Takes requests on a thread of its own.
    pub(crate) fn spawn(mut self, requests: flume::Receiver<OwnerRequest>) -> Result<()> {
        let run = move || {
            while self.turn(&requests) {}
        };
        let builder = thread::Builder::new().name("owner".into());
        builder.spawn(run).map(drop).map_err(|e| Error::io("start thread", "owner", e))
    }

    /// Waits for events, takes them, and carries out what follows; false at the end.
    fn turn(&mut self, requests: &flume::Receiver<OwnerRequest>) -> bool {
        let first = match self.wakes.first() {
            Some((at, _)) => requests.recv_deadline(*at).map_err(|e| e.to_string()),
            None => requests.recv().map_err(|e| e.to_string()),
        };
        if first.is_err() && requests.is_disconnected() {
            return false;
        }
        self.refresh();
        first.into_iter().chain(requests.try_iter().take(BATCH)).for_each(|r| self.handle(r));
        let now = self.parts.clock.now();
        while let Some((at, place)) = self.wakes.first().copied()
            && at <= now
        {
            self.wakes.remove(&(at, place));
            self.dirty.insert(place);
        }
        for place in std::mem::take(&mut self.dirty) {
            self.step(place, now);
        }
        true
    }

    fn handle(&mut self, request: OwnerRequest) {
        match request {
            OwnerRequest::Describe { service, shard, reply_to } => {
                let place = self.place(&service, &shard);
                let held = place.map(|p| self.groups[p].group.snapshots()).unwrap_or_default();
                self.parts.calls.reply(reply_to, Reply::Described(held));
            }
            OwnerRequest::Search(query, reply_to) => self.submit(Work::Search(query), reply_to),
            OwnerRequest::Book(claimed, reply_to) => self.submit(Work::Book(claimed), reply_to),
            OwnerRequest::Cancel(reply_to) => self.cancel(reply_to),
            OwnerRequest::Report(place, report) => self.report(place, report),
        }
    }

    /// Brings the groups in line with the catalogue in force.
    fn refresh(&mut self) {
        let view = self.parts.routing.view();
        if Arc::ptr_eq(&view, &self.view) {
            return;
        }
        self.view = view.clone();
        let places = std::mem::take(&mut self.places);
        for ((service, shard), place) in places {
            let Some(place) = place else { continue };
            let entry = view.catalogue.service(&service).and_then(|s| {
                Some((s.limits.deadline, s.shards.iter().find(|c| c.name == shard)?))
            });
            match entry {
                Some((deadline, entry)) => self.update(place, entry, deadline),
                None => self.clear(place),
            }
            self.places.insert((service, shard), Some(place));
            self.dirty.insert(place);
        }
    }

    fn update(&mut self, place: usize, shard: &Shard, deadline: Duration) {
        let targets = self.targets(shard);
        let report = self.reporter(place);
        let entry = &mut self.groups[place];
        let is_same_span = entry.span == shard.span;
        entry.span = shard.span;
        entry.deadline = deadline;
        entry.group.set_targets(&targets);
        let mut old = std::mem::take(&mut entry.lanes);
        for target in &targets {
            let same = old.iter().position(|l| is_same_span && l.target == *target);
            entry.lanes.push(match same {
                Some(i) => old.swap_remove(i),
                None => self.parts.start(target, shard.span, &report),
            });
        }
    }

    fn clear(&mut self, place: usize) {
        self.groups[place].group.set_targets(&[]);
        self.groups[place].lanes.clear();
    }

    /// The group of a shard, started on first use; `None` if this data centre has none.
    fn place(&mut self, service: &Name, shard: &Name) -> Option<usize> {
        let key = (service.clone(), shard.clone());
        if let Some(place) = self.places.get(&key) {
            return place.filter(|p| !self.groups[*p].lanes.is_empty());
        }
        let view = self.parts.routing.view();
        let entry = view.catalogue.service(service)?;
        let limit = entry.limits.deadline;
        let entry = entry.shards.iter().find(|s| s.name == *shard)?;
        let targets = self.targets(entry);
        let place = (!targets.is_empty()).then(|| self.start(entry, &targets, limit));
        self.places.insert(key, place);
        place
    }

    fn targets(&self, shard: &Shard) -> Vec<Target> {
        let centre = &self.parts.data_centre;
        let own = |t: &&Target| t.data_centre == *centre && t.state == TargetState::Active;
        shard.targets.iter().filter(own).cloned().collect()
    }

    fn start(&mut self, shard: &Shard, targets: &[Target], deadline: Duration) -> usize {
        let place = self.groups.len();
        let report = self.reporter(place);
        let start = |t: &Target| self.parts.start(t, shard.span, &report);
        let lanes = targets.iter().map(start).collect();
        let group = Group::new(targets, self.parts.tuning, fastrand::u64(..));
        let span = shard.span;
        self.groups.push(Replicas {
            group,
            lanes,
            span,
            deadline,
            sent: Map::default(),
            spans: Spans::default(),
            wake: None,
        });
        place
    }

    fn reporter(&self, place: usize) -> Reporter {
        let reports = self.reports.clone();
        // The receiver goes away only when the process ends.
        Arc::new(move |report| drop(reports.send(OwnerRequest::Report(place, report))))
    }

    fn submit(&mut self, work: Work, reply_to: ReplyTo) {
        let Some(place) = self.place(work.service(), work.shard()) else {
            return self.fail(&work, reply_to, Failure::NotOwner);
        };
        let now = self.parts.clock.now();
        let left = work.deadline().saturating_sub(self.parts.clock.unix());
        let entry = &mut self.groups[place];
        if work.spills() && !entry.group.has_capacity(now, work.snapshot()) {
            let waiting = entry.group.waiting(now);
            return self.fail(&work, reply_to, Failure::Busy(waiting));
        }
        let deadline = now + left.min(entry.deadline);
        let id = self.next;
        self.next += 1;
        let job = Job { id, snapshot: work.snapshot(), deadline, at_most_once: work.is_booking() };
        let (work, draw) = (Arc::new(work), fastrand::f64());
        self.jobs.insert(
            id,
            Open { work, reply_to, place, draw, overflow: now + OVERFLOW_WAIT, sent: false },
        );
        self.by_reply.insert(reply_to, id);
        entry.group.submit(now, job);
        self.dirty.insert(place);
    }

    fn cancel(&mut self, reply_to: ReplyTo) {
        let Some(id) = self.by_reply.get(&reply_to).copied() else { return };
        if self.jobs.get(&id).is_some_and(|open| open.work.is_booking() && open.sent) {
            return;
        }
        self.by_reply.remove(&reply_to);
        if let Some(open) = self.jobs.remove(&id) {
            self.groups[open.place].group.cancel(id);
            self.dirty.insert(open.place);
        }
    }

    fn report(&mut self, place: usize, report: Report) {
        self.dirty.insert(place);
        match report {
            Report::Health { target, health } => {
                self.groups[place].group.set_snapshots(&target, health.held);
            }
            Report::Finished { attempt, time, ending } => {
                self.finished(place, attempt, time, ending);
            }
        }
    }

    fn finished(&mut self, place: usize, attempt: u64, time: Duration, mut ending: Ending) {
        let now = self.parts.clock.now();
        let Replicas { group, sent, spans, lanes, .. } = &mut self.groups[place];
        let Some(entry) = sent.get_mut(&attempt) else { return };
        if let Some(found) = &ending.found
            && ending.failure == Some(WRONG_PARTITIONS)
            && spans.agree(found, &entry.target, lanes.len())
        {
            (ending.outcome, ending.failure) = (Outcome::Answered, None);
        }
        let outcome = match ending.outcome {
            Outcome::Failed if entry.cancelled => Outcome::Cancelled,
            outcome => outcome,
        };
        if let Some(failure) = ending.failure.filter(|_| outcome != Outcome::Cancelled) {
            self.parts.metrics.target_failed(failure);
        }
        // A success of a target under protection is no evidence for its version under load.
        let is_uninformative =
            outcome == Outcome::Answered && group.is_uninformative(&entry.target, time);
        if !is_uninformative && (outcome != Outcome::Cancelled || entry.cancelled) {
            // A cancelled request took at least the time until then; to leave it out would make a
            // slow version look fast.
            let ok = matches!(outcome, Outcome::Answered | Outcome::Cancelled);
            let time = (!group.is_new(&entry.target)).then_some(time);
            let outcome = versions::RequestOutcome { ok, time };
            let work = &entry.work;
            self.parts.versions.record(work.service(), work.route(), &entry.version, outcome);
        }
        if let Some(found) = ending.found {
            if !found.held.is_empty() {
                group.update_snapshots(attempt, found.held);
            }
            let results = Box::<str>::from(found.results).into_string();
            entry.part = Some(ShardResults { snapshot: found.snapshot, span: found.span, results });
        }
        let (job, ended) = (entry.job, ending.ended);
        group.finished(now, attempt, outcome);
        if let Some(ended) = ended {
            self.ran(job, ended);
        }
        self.step(place, now);
        self.groups[place].sent.remove(&attempt);
    }

    /// Carries out what a group decides.
    fn step(&mut self, place: usize, now: Instant) {
        let entry = &mut self.groups[place];
        let (jobs, versions) = (&self.jobs, &self.parts.versions);
        let mut admits = |job: u64, target: &Target| {
            jobs.get(&job).is_some_and(|open| {
                let work = &open.work;
                // What was sent once, or has waited long, may go to the old version.
                let is_bound = !open.sent && now < open.overflow;
                let draw = if is_bound { open.draw } else { LAST_DRAW };
                versions.admits(work.service(), work.route(), &target.version, draw)
            })
        };
        let actions = entry.group.step(now, &mut admits);
        let wake = entry.group.next_wake(now);
        if let Some(old) = std::mem::replace(&mut entry.wake, wake) {
            self.wakes.remove(&(old, place));
        }
        self.wakes.extend(wake.map(|at| (at, place)));
        for action in actions {
            self.act(place, action);
        }
    }

    fn act(&mut self, place: usize, action: Action) {
        match action {
            Action::Dispatch { attempt, job, target, .. } => {
                self.dispatch(place, attempt, job, &target);
            }
            Action::Cancel { attempt, target } => {
                let entry = &mut self.groups[place];
                let Some(sent) = entry.sent.get_mut(&attempt) else { return };
                sent.cancelled = true;
                if let Some(lane) = entry.lanes.iter().find(|l| l.target.name == target) {
                    lane.cancel(sent.request.clone());
                }
            }
            Action::Reply { job, result, extra } => self.reply(place, job, result, extra),
        }
    }

    fn dispatch(&mut self, place: usize, attempt: u64, job: u64, target: &Name) {
        let Some(open) = self.jobs.get_mut(&job) else { return };
        open.sent = true;
        let entry = &mut self.groups[place];
        let Some(lane) = entry.lanes.iter().find(|l| l.target.name == *target) else { return };
        let request: Arc<str> = format!("{:016x}", fastrand::u64(..)).into();
        let sent = Sent {
            request: request.clone(),
            job,
            work: open.work.clone(),
            version: lane.target.version.clone(),
            target: target.clone(),
            cancelled: false,
            part: None,
        };
        entry.sent.insert(attempt, sent);
        let longest = self.parts.clock.unix() + entry.deadline;
        let deadline = open.work.deadline().min(longest);
        lane.send(Errand { attempt, request, work: open.work.clone(), deadline });
    }

    fn reply(
        &mut self,
        place: usize,
        job: u64,
        result: std::result::Result<u64, Denial>,
        extra: u32,
    ) {
        let is_running = |open: &Open| open.work.is_booking() && open.sent;
        if self.jobs.get(&job).is_none_or(is_running) {
            return;
        }
        let Some(open) = self.jobs.remove(&job) else { return };
        self.by_reply.remove(&open.reply_to);
        let entry = &mut self.groups[place];
        let mut part = |attempt| entry.sent.get_mut(&attempt)?.part.take();
        let outcome = match result {
            Ok(attempt) => part(attempt).ok_or(Failure::Target),
            Err(denial) => Err(failure(denial)),
        };
        match outcome {
            Err(failure) if open.work.is_booking() => {
                self.fail(&open.work, open.reply_to, failure);
            }
            outcome => {
                let reply = SubReply { outcome, held: entry.group.snapshots(), extra };
                self.parts.calls.reply(open.reply_to, Reply::Found(reply));
            }
        }
    }

    /// Tells how a booking ended that was sent to a target.
    fn ran(&mut self, job: u64, ended: AttemptOutcome) {
        if let Some(open) = self.jobs.remove(&job) {
            self.by_reply.remove(&open.reply_to);
            self.parts.calls.reply(open.reply_to, Reply::Ran(ended));
        }
    }

    /// Answers work that was not sent to any target.
    fn fail(&self, work: &Work, to: ReplyTo, failure: Failure) {
        let reply = match work {
            Work::Search(_) => {
                Reply::Found(SubReply { outcome: Err(failure), held: Vec::new(), extra: 0 })
            }
            Work::Book(_) => Reply::Ran(AttemptOutcome::NotRun),
        };
        self.parts.calls.reply(to, reply);
    }
}

impl Parts {
    fn start(&self, target: &Target, span: sapphirerack_catalogue::Span, to: &Reporter) -> Lane {
        let limit = full_limit(target, self.tuning.waiting);
        Lane::start(target, span, limit, &self.clock, to)
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

//! Sub-queries at the targets that this host owns.
//!
//! Each group (the targets of one shard in this data centre) has a queue and one worker thread
//! for each slot of each of its targets, so that a target never gets more than its slots.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use sapphirerack_catalogue::{Map, Name, Shard, Span, Target, TargetState};
use sapphirerack_platform::{Found, Search, TargetClient};
use sapphirerack_policy::booking::Ended;
use sapphirerack_policy::{Clock, SnapshotId};
use sapphirerack_protocol::{Claimed, Failure, Part, Reply, SubQuery, SubReply};

use crate::calls::{Calls, ReplyTo};
use crate::errand;
use crate::routing::Routing;
use crate::versions::{Outcome, Versions};
use crate::{Error, Result};

const HEALTH_INTERVAL: Duration = Duration::from_millis(500);
const HEALTH_TIMEOUT: Duration = Duration::from_millis(200);

/// What the owner is asked.
pub(crate) enum OwnerRequest {
    /// Which snapshots a shard's replicas hold.
    Describe { service: Name, shard: Name, reply_to: ReplyTo },
    /// To run a sub-query.
    Search(SubQuery, ReplyTo),
    /// To send a claimed booking to one target.
    Book(Claimed, ReplyTo),
    /// To drop a sub-query whose answer is no longer wanted.
    Cancel(ReplyTo),
}

type Snapshots = Arc<Mutex<BTreeSet<SnapshotId>>>;

struct Job {
    work: Work,
    reply_to: ReplyTo,
}

enum Work {
    Search(SubQuery),
    Book(Claimed),
}

struct Group {
    targets: Vec<Target>,
    jobs: flume::Sender<Job>,
    held: Snapshots,
}

/// Runs sub-queries at the targets that this host owns.
pub(crate) struct Owner {
    clock: Arc<dyn Clock>,
    routing: Arc<Routing>,
    calls: Arc<Calls>,
    versions: Arc<Versions>,
    data_centre: Name,
    groups: Map<(Name, Name), Group>,
}

struct Worker {
    clock: Arc<dyn Clock>,
    calls: Arc<Calls>,
    versions: Arc<Versions>,
    client: TargetClient,
    version: Name,
    span: Span,
    jobs: flume::Receiver<Job>,
    held: Snapshots,
}

impl Owner {
    pub(crate) fn new(
        clock: Arc<dyn Clock>,
        routing: Arc<Routing>,
        calls: Arc<Calls>,
        versions: Arc<Versions>,
        data_centre: Name,
    ) -> Self {
        Self { clock, routing, calls, versions, data_centre, groups: Map::default() }
    }

    /// Takes requests on a thread of its own.
    pub(crate) fn spawn(mut self, requests: flume::Receiver<OwnerRequest>) -> Result<()> {
        let run = move || {
            for request in requests {
                self.handle(request);
            }
        };
        let builder = thread::Builder::new().name("owner".into());
        builder.spawn(run).map(drop).map_err(|e| Error::io("start thread", "owner", e))
    }

    fn handle(&mut self, request: OwnerRequest) {
        match request {
            OwnerRequest::Describe { service, shard, reply_to } => {
                let held = self.group(&service, &shard).map(|g| snapshots(&g.held));
                self.calls.reply(reply_to, Reply::Described(held.unwrap_or_default()));
            }
            OwnerRequest::Search(query, reply_to) => {
                match self.group(&query.service.clone(), &query.shard.clone()) {
                    // The workers hold the receiver as long as the group stands.
                    Some(group) => {
                        drop(group.jobs.send(Job { work: Work::Search(query), reply_to }));
                    }
                    None => self.fail(reply_to, Failure::NotOwner),
                }
            }
            OwnerRequest::Book(claimed, reply_to) => {
                match self.group(&claimed.service.clone(), &claimed.shard.clone()) {
                    Some(group) => {
                        drop(group.jobs.send(Job { work: Work::Book(claimed), reply_to }));
                    }
                    None => self.calls.reply(reply_to, Reply::Ran(Ended::NotRun)),
                }
            }
            OwnerRequest::Cancel(reply_to) => log::debug!("step=cancel reply_to={reply_to:?}"),
        }
    }

    fn fail(&self, to: ReplyTo, failure: Failure) {
        let reply = SubReply { outcome: Err(failure), held: Vec::new(), extra: 0 };
        self.calls.reply(to, Reply::Found(reply));
    }

    /// The group of a shard, started on first use and again when its targets change.
    fn group(&mut self, service: &Name, shard: &Name) -> Option<&Group> {
        let view = self.routing.view();
        let entry = view.catalogue.service(service)?;
        let entry = entry.shards.iter().find(|s| s.name == *shard)?;
        let targets = self.targets(entry);
        if targets.is_empty() {
            return None;
        }
        let key = (service.clone(), shard.clone());
        if self.groups.get(&key).is_none_or(|g| g.targets != targets) {
            let group = self.start(entry.span, targets);
            self.groups.insert(key.clone(), group);
        }
        self.groups.get(&key)
    }

    fn targets(&self, shard: &Shard) -> Vec<Target> {
        let own = |t: &&Target| t.data_centre == self.data_centre && t.state == TargetState::Active;
        shard.targets.iter().filter(own).cloned().collect()
    }

    fn start(&self, span: Span, targets: Vec<Target>) -> Group {
        let (sender, jobs) = flume::unbounded();
        let held = Snapshots::default();
        for target in &targets {
            let client = TargetClient::new(target.address, target.connections as usize);
            probe(client.clone(), held.clone(), jobs.clone());
            for _ in 0..target.slots {
                let worker = Worker {
                    clock: self.clock.clone(),
                    calls: self.calls.clone(),
                    versions: self.versions.clone(),
                    client: client.clone(),
                    version: target.version.clone(),
                    span,
                    jobs: jobs.clone(),
                    held: held.clone(),
                };
                worker.spawn();
            }
        }
        Group { targets, jobs: sender, held }
    }
}

impl Worker {
    fn spawn(self) {
        let run = move || {
            while let Ok(job) = self.jobs.recv() {
                let reply = match job.work {
                    Work::Search(query) => {
                        let outcome = self.run(&query);
                        let held = snapshots(&self.held);
                        Reply::Found(SubReply { outcome, held, extra: 0 })
                    }
                    Work::Book(claimed) => {
                        Reply::Ran(errand::run(&self.client, &*self.clock, &claimed))
                    }
                };
                self.calls.reply(job.reply_to, reply);
            }
        };
        if let Err(e) = thread::Builder::new().name("target".into()).spawn(run) {
            log::error!("step=\"start thread\" error={e}");
        }
    }

    fn run(&self, query: &SubQuery) -> std::result::Result<Part, Failure> {
        let deadline = Duration::from_micros(query.deadline);
        let timeout = deadline.saturating_sub(self.clock.unix());
        if timeout.is_zero() {
            return Err(Failure::Timeout);
        }
        if !self.versions.admits(&query.service, &query.route, &self.version, fastrand::f64()) {
            return Err(Failure::Target);
        }
        let request = format!("{:016x}", fastrand::u64(..));
        let search = Search {
            request: &request,
            snapshot: query.snapshot,
            span: self.span,
            route: &query.route,
            deadline,
            timeout,
            query: &query.query,
        };
        let start = self.clock.now();
        let found = self.client.search(&search);
        let time = self.clock.now().duration_since(start);
        let outcome = Outcome { ok: found.is_ok(), time };
        self.versions.record(&query.service, &query.route, &self.version, outcome);
        match found {
            Ok(found) => self.accept(query, found),
            Err(e) => {
                log::debug!("step=search request={request} error={e:?}");
                Err(Failure::Target)
            }
        }
    }

    fn accept(&self, query: &SubQuery, found: Found) -> std::result::Result<Part, Failure> {
        if !found.held.is_empty() {
            *self.held.lock().unwrap_or_else(PoisonError::into_inner) =
                found.held.iter().copied().collect();
        }
        if found.snapshot != query.snapshot || found.span != self.span {
            return Err(Failure::NoSnapshot);
        }
        let results = Box::<str>::from(found.results).into_string();
        Ok(Part { snapshot: found.snapshot, span: found.span, results })
    }
}

/// Keeps a group's snapshots up to date from a target's health, until the group is dropped.
fn probe(client: TargetClient, held: Snapshots, jobs: flume::Receiver<Job>) {
    let run = move || {
        while !jobs.is_disconnected() {
            if let Ok(health) = client.health(HEALTH_TIMEOUT) {
                *held.lock().unwrap_or_else(PoisonError::into_inner) =
                    health.held.into_iter().collect();
            }
            thread::sleep(HEALTH_INTERVAL);
        }
    };
    if let Err(e) = thread::Builder::new().name("probe".into()).spawn(run) {
        log::error!("step=\"start thread\" error={e}");
    }
}

fn snapshots(held: &Snapshots) -> Vec<SnapshotId> {
    held.lock().unwrap_or_else(PoisonError::into_inner).iter().copied().collect()
}

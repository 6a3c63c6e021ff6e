//! One query, scattered to every shard and gathered.
//!
//! The query is pinned to a snapshot before it scatters. Only results of that snapshot enter the
//! answer, and its coverage is the sum of the spans that they name.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Map, Name, Service, Shard};
use sapphirerack_policy::{Clock, Coverage, Held, SnapshotId, choose, owners};
use sapphirerack_protocol::{Part, Reply, Request, SubQuery, SubReply};

use crate::calls::{Answer, Call, Calls};
use crate::config::{Config, View};
use crate::metrics::{Labels, Metrics};
use crate::peers::Peers;

/// Age above which what is known of a shard's snapshots is asked again.
const HELD_AGE: Duration = Duration::from_secs(1);

/// Time that asking for snapshots may take at most.
const DESCRIBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Pause before the owners are asked again when none knew a snapshot.
const DESCRIBE_PAUSE: Duration = Duration::from_millis(10);

/// A caller's query.
pub(crate) struct Query {
    pub request: Name,
    pub service: Name,
    pub route: Name,
    pub body: Vec<u8>,
    pub timeout: Option<Duration>,
}

/// Answer to a query.
pub(crate) struct Gathered {
    pub snapshot: SnapshotId,
    pub coverage: Coverage,
    pub cut: bool,
    pub parts: Vec<(Name, Part)>,
}

/// Why a query was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    Unconfigured,
    UnknownService,
    Unavailable,
}

impl Refusal {
    /// HTTP status and reason.
    pub(crate) fn describe(self) -> (u16, &'static str) {
        match self {
            Self::Unconfigured => (503, "no configuration yet"),
            Self::UnknownService => (404, "unknown service"),
            Self::Unavailable => (503, "no replica holds a snapshot"),
        }
    }
}

struct Known {
    at: Instant,
    held: Vec<SnapshotId>,
}

/// Runs queries.
pub(crate) struct Gather {
    clock: Arc<dyn Clock>,
    config: Arc<Config>,
    peers: Arc<Peers>,
    calls: Arc<Calls>,
    metrics: Arc<Metrics>,
    known: Mutex<Map<(Name, Name), Known>>,
}

impl Gather {
    pub(crate) fn new(
        clock: Arc<dyn Clock>,
        config: Arc<Config>,
        peers: Arc<Peers>,
        calls: Arc<Calls>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self { clock, config, peers, calls, metrics, known: Mutex::default() }
    }

    /// Runs a query until it is complete or its deadline passes.
    pub(crate) fn search(&self, query: &Query) -> Result<Gathered, Refusal> {
        let start = self.clock.now();
        let view = self.config.view();
        if view.version == 0 {
            return Err(Refusal::Unconfigured);
        }
        let service = view.catalogue.service(&query.service).ok_or(Refusal::UnknownService)?;
        let limit = service.limits.deadline;
        let timeout = query.timeout.map_or(limit, |t| t.min(limit));
        let deadline = start + timeout;
        let snapshot = self.pin(&view, service, deadline)?;
        let gathered = self.scatter(&view, service, query, snapshot, deadline);
        let labels = Labels::new(&service.owner, &service.class);
        let seconds = self.clock.now().duration_since(start).as_secs_f64();
        self.metrics.answered(&labels, seconds, gathered.coverage.fraction());
        Ok(gathered)
    }

    /// Chooses the snapshot; asks the owners of shards of which too little is known.
    fn pin(
        &self,
        view: &View,
        service: &Service,
        deadline: Instant,
    ) -> Result<SnapshotId, Refusal> {
        loop {
            let stale: Vec<&Shard> =
                service.shards.iter().filter(|s| self.is_stale(service, s)).collect();
            if !stale.is_empty() {
                self.describe(view, service, &stale, deadline);
            }
            if let Some(snapshot) = choose(&self.held(service)) {
                return Ok(snapshot);
            }
            if self.clock.now() >= deadline {
                return Err(Refusal::Unavailable);
            }
            thread::sleep(DESCRIBE_PAUSE);
        }
    }

    fn held(&self, service: &Service) -> Vec<Held> {
        let known = self.known();
        let held = service.shards.iter().map(|shard| {
            let key = (service.name.clone(), shard.name.clone());
            let snapshots = known.get(&key).map(|k| k.held.clone()).unwrap_or_default();
            Held { span: Some(shard.span), snapshots }
        });
        held.collect()
    }

    fn is_stale(&self, service: &Service, shard: &Shard) -> bool {
        let key = (service.name.clone(), shard.name.clone());
        let now = self.clock.now();
        self.known().get(&key).is_none_or(|k| now.duration_since(k.at) > HELD_AGE)
    }

    fn describe(&self, view: &View, service: &Service, shards: &[&Shard], deadline: Instant) {
        let (sender, answers) = flume::unbounded();
        let calls = shards.iter().enumerate().filter_map(|(index, shard)| {
            let request =
                Request::Describe { service: service.name.clone(), shard: shard.name.clone() };
            self.call(view, service, shard, index, request)
        });
        let ids = self.calls.send(calls.collect(), &sender);
        drop(sender);
        let limit = deadline.min(self.clock.now() + DESCRIBE_TIMEOUT);
        while let Ok(answer) = answers.recv_deadline(limit) {
            if let Some(Reply::Described(held)) = answer.reply {
                self.learn(service, &shards[answer.index].name, held);
            }
        }
        self.calls.forget(&ids);
    }

    fn learn(&self, service: &Service, shard: &Name, held: Vec<SnapshotId>) {
        if held.is_empty() {
            return;
        }
        let known = Known { at: self.clock.now(), held };
        self.known().insert((service.name.clone(), shard.clone()), known);
    }

    fn scatter(
        &self,
        view: &View,
        service: &Service,
        query: &Query,
        snapshot: SnapshotId,
        deadline: Instant,
    ) -> Gathered {
        let left = deadline.saturating_duration_since(self.clock.now());
        let unix = self.clock.unix() + left;
        let (sender, answers) = flume::unbounded();
        let calls = service.shards.iter().enumerate().filter_map(|(index, shard)| {
            let request = Request::Search(SubQuery {
                service: service.name.clone(),
                shard: shard.name.clone(),
                snapshot,
                route: query.route.clone(),
                deadline: u64::try_from(unix.as_micros()).unwrap_or(u64::MAX),
                query: query.body.clone(),
            });
            self.call(view, service, shard, index, request)
        });
        let ids = self.calls.send(calls.collect(), &sender);
        drop(sender);
        let gathered = self.collect(service, snapshot, &answers, deadline, ids.len());
        self.calls.forget(&ids);
        gathered
    }

    fn collect(
        &self,
        service: &Service,
        snapshot: SnapshotId,
        answers: &flume::Receiver<Answer>,
        deadline: Instant,
        mut open: usize,
    ) -> Gathered {
        let sent = open;
        let mut extra = 0;
        let mut coverage = Coverage::default();
        let mut parts = Vec::with_capacity(open);
        while open > 0 {
            let Ok(answer) = answers.recv_deadline(deadline) else {
                break;
            };
            open -= 1;
            let Some(Reply::Found(reply)) = answer.reply else {
                continue;
            };
            let shard = &service.shards[answer.index].name;
            extra += u64::from(reply.extra);
            self.learn(service, shard, reply.held.clone());
            if let Some(part) = accept(reply, snapshot, &mut coverage) {
                parts.push((shard.clone(), part));
            }
        }
        let labels = Labels::new(&service.owner, &service.class);
        self.metrics.sub_queries(&labels, sent as u64, extra);
        Gathered { snapshot, coverage, cut: open > 0, parts }
    }

    fn call(
        &self,
        view: &View,
        service: &Service,
        shard: &Shard,
        index: usize,
        request: Request,
    ) -> Option<Call> {
        let own = &self.peers.own().data_centre;
        let hosts = owners(&view.catalogue, service, shard, own, &self.peers.live());
        let peer = hosts.first()?.address;
        Some(Call { index, peer, request })
    }

    fn known(&self) -> std::sync::MutexGuard<'_, Map<(Name, Name), Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes a part into the answer if it is of the snapshot and overlaps no other.
fn accept(reply: SubReply, snapshot: SnapshotId, coverage: &mut Coverage) -> Option<Part> {
    let part = reply.outcome.ok()?;
    (part.snapshot == snapshot && coverage.add(part.span)).then_some(part)
}

//! Scatters a query to every shard and gathers the results.
//!
//! The query is pinned to a snapshot before it is scattered. The answer holds results of that
//! snapshot only, and its coverage is the sum of their spans.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Map, Name, Service};
use sapphirerack_policy::{Candidate, Clock, Coverage, ShardRequest, SnapshotId, choose_snapshot};
use sapphirerack_protocol::{Reply, Request, ShardResults, SubQuery};

use crate::admission::Admission;
use crate::calls::{Call, Calls};
use crate::collect::Collector;
use crate::metrics::{Labels, Metrics};
use crate::peers::Peers;
use crate::routes::{CandidateCache, ShardCandidates};
use crate::routing::Routing;
use crate::settings::QuerySettings;
use crate::snapshots::Snapshots;

/// A request for snapshots times out after the query's timeout divided by `DESCRIBE_DIVISOR`, at
/// most after `DESCRIBE_TIMEOUT`.
const DESCRIBE_DIVISOR: u32 = 5;
const DESCRIBE_TIMEOUT: Duration = Duration::from_millis(50);

/// Pause before the owners are queried again if no snapshot can be chosen.
const DESCRIBE_PAUSE: Duration = Duration::from_millis(10);

/// A caller's query.
pub(crate) struct Query {
    pub request: Name,
    pub service: Name,
    pub route: Name,
    pub body: Arc<[u8]>,
    pub timeout: Option<Duration>,
}

/// Answer to a query.
pub(crate) struct Gathered {
    pub snapshot: SnapshotId,
    pub coverage: Coverage,
    /// Whether results are missing because of the deadline.
    pub deadline_cut: bool,
    pub parts: Vec<(Name, ShardResults)>,
    /// Number of sub-queries sent, to owners and backups.
    pub sent: u64,
    /// Number of requests beyond the first of each shard that may have reached a target.
    pub extra: u64,
}

/// Why a query was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    Unconfigured,
    NotJoined,
    UnknownService,
    ConcurrencyLimit,
    NoSnapshot,
}

impl Refusal {
    /// HTTP status and reason, as sent to callers and counted in metrics.
    pub(crate) fn describe(self) -> (u16, &'static str) {
        match self {
            Self::Unconfigured => (503, "no configuration yet"),
            Self::NotJoined => (503, "not joined yet"),
            Self::ConcurrencyLimit => (503, "the service's limit of concurrent queries"),
            Self::UnknownService => (404, "unknown service"),
            Self::NoSnapshot => (503, "no replica holds a snapshot"),
        }
    }
}

/// Runs queries.
pub(crate) struct Gather {
    clock: Arc<dyn Clock>,
    routing: Arc<Routing>,
    peers: Arc<Peers>,
    calls: Arc<Calls>,
    metrics: Arc<Metrics>,
    admission: Admission,
    candidates: CandidateCache,
    snapshots: Arc<Snapshots>,
    collector: Collector,
}

impl Gather {
    pub(crate) fn new(
        clock: Arc<dyn Clock>,
        routing: Arc<Routing>,
        peers: Arc<Peers>,
        calls: Arc<Calls>,
        metrics: Arc<Metrics>,
        settings: QuerySettings,
    ) -> Self {
        let candidates = CandidateCache::default();
        let snapshots = Arc::new(Snapshots::new(clock.clone()));
        let collector = Collector::new(clock.clone(), calls.clone(), snapshots.clone(), settings);
        let admission = Admission::default();
        Self { clock, routing, peers, calls, metrics, admission, candidates, snapshots, collector }
    }

    /// Runs a query until it is complete or its deadline passes.
    pub(crate) fn search(&self, query: &Query) -> Result<Gathered, Refusal> {
        let start = self.clock.now();
        let view = self.routing.view();
        if view.version == 0 {
            return Err(Refusal::Unconfigured);
        }
        if !self.peers.is_joined() {
            return Err(Refusal::NotJoined);
        }
        let service = view.catalogue.service(&query.service).ok_or(Refusal::UnknownService)?;
        let concurrency = service.limits.concurrency;
        let _permit =
            self.admission.admit(&service.name, concurrency).ok_or(Refusal::ConcurrencyLimit)?;
        let limit = service.limits.deadline;
        let timeout = query.timeout.map_or(limit, |t| t.min(limit));
        let deadline = start + timeout;
        let own = &self.peers.own().data_centre;
        let candidates = self.candidates.get(&view, &self.peers.live(), service, own);
        let snapshot = self.pin_snapshot(service, &candidates, deadline)?;
        let unix = self.clock.unix() + deadline.saturating_duration_since(self.clock.now());
        let sub_query = SubQuery {
            spill: true,
            service: service.name.clone(),
            shard: Name::default(),
            snapshot,
            route: query.route.clone(),
            deadline: u64::try_from(unix.as_micros()).unwrap_or(u64::MAX),
            query: query.body.clone(),
        };
        let gathered = self.collector.run(service, &candidates, sub_query, deadline);
        let labels = Labels::new(&service.owner, &service.class);
        let seconds = self.clock.now().duration_since(start).as_secs_f64();
        self.metrics.answered(&labels, seconds, gathered.coverage.fraction());
        self.metrics.sub_queries(&labels, gathered.sent, gathered.extra);
        Ok(gathered)
    }

    /// Chooses the snapshot; first queries the owners of shards whose cached snapshots are stale.
    fn pin_snapshot(
        &self,
        service: &Service,
        candidates: &ShardCandidates,
        deadline: Instant,
    ) -> Result<SnapshotId, Refusal> {
        loop {
            let shards = service.shards.iter().enumerate();
            let stale = shards.filter(|(_, s)| self.snapshots.is_stale(service, s));
            let stale: Vec<usize> = stale.map(|(i, _)| i).collect();
            if !stale.is_empty() {
                self.fetch_snapshots(service, candidates, &stale, deadline);
            }
            if let Some(snapshot) = choose_snapshot(&self.snapshots.held(service)) {
                return Ok(snapshot);
            }
            if self.clock.now() >= deadline {
                return Err(Refusal::NoSnapshot);
            }
            thread::sleep(DESCRIBE_PAUSE);
        }
    }

    /// Requests from one owner in each data centre the snapshots that the shards' replicas hold.
    fn fetch_snapshots(
        &self,
        service: &Service,
        candidates: &ShardCandidates,
        shards: &[usize],
        deadline: Instant,
    ) {
        let now = self.clock.now();
        let (sender, answers) = flume::unbounded();
        let requests: Vec<ShardRequest> =
            shards.iter().flat_map(|i| self.owners(*i, &candidates[*i])).collect();
        let call = |request: &ShardRequest| Call {
            index: request.shard,
            peer: candidates[request.shard][request.candidate].host.address,
            request: Request::Describe {
                service: service.name.clone(),
                shard: service.shards[request.shard].name.clone(),
            },
        };
        let ids = self.calls.send(requests.iter().map(call).collect(), &sender);
        drop(sender);
        let mut pending: Map<u64, ShardRequest> = ids.iter().copied().zip(requests).collect();
        let timeout = deadline.saturating_duration_since(now) / DESCRIBE_DIVISOR;
        let limit = now + timeout.min(DESCRIBE_TIMEOUT);
        while let Ok(answer) = answers.recv_deadline(limit) {
            let Some(request) = pending.remove(&answer.id) else { continue };
            if let Some(Reply::Described(held)) = answer.reply {
                let centre = &candidates[request.shard][request.candidate].host.data_centre;
                let shard = &service.shards[request.shard].name;
                self.snapshots.record(&service.name, shard, centre, held);
            }
        }
        self.calls.forget(&ids);
    }

    /// For each data centre, the most preferred candidate that is not suspected.
    fn owners(&self, shard: usize, candidates: &[Candidate]) -> Vec<ShardRequest> {
        let mut centres: Vec<&Name> = Vec::new();
        let mut requests = Vec::new();
        for (candidate, entry) in candidates.iter().enumerate() {
            let host = &entry.host;
            let is_suspect = self.calls.contacts().is_suspect(host.address);
            if !is_suspect && !centres.contains(&&host.data_centre) {
                centres.push(&host.data_centre);
                requests.push(ShardRequest { shard, candidate });
            }
        }
        requests
    }
}

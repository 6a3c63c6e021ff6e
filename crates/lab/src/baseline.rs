//! Simpler dispatch strategies, for comparison with the product.
//!
//! They run inside the lab process: a virtual entry host is a set of connection pools. This favours
//! the baselines, which avoid the product's hops between processes.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Catalogue, Map, Name, Span, Target};
use serde::Deserialize;
use tokio::sync::{Semaphore, mpsc};

use crate::answer::{Answer, Hit, Part};
use crate::client::Pool;
use crate::load::Dispatch;

/// Maximum number of connections from a naive host to one target.
const NAIVE_CONNECTIONS: usize = 256;

/// Delay before a sub-query is hedged, as a multiple of the mean service time.
const HEDGE_AFTER: u32 = 3;

/// Maximum fraction of requests sent as hedges.
const HEDGE_BUDGET: f64 = 0.05;

#[derive(Deserialize)]
struct Reply {
    request: String,
    snapshot: u64,
    span: Span,
    results: Vec<Hit>,
}

/// Connections and outstanding requests from one virtual host to one target.
struct Route {
    pool: Arc<Pool>,
    slots: Arc<Semaphore>,
    outstanding: AtomicUsize,
}

struct Shard {
    targets: Vec<usize>,
}

/// A set of virtual entry hosts.
pub(crate) struct Baseline {
    services: Map<Name, Vec<Shard>>,
    /// Indexed by host, then by target.
    routes: Vec<Vec<Arc<Route>>>,
    hedge: Option<Duration>,
    random: bool,
    next_request: AtomicU64,
    sent: AtomicU64,
    hedged: AtomicU64,
}

impl Baseline {
    pub(crate) fn new(
        catalogue: &Catalogue,
        dispatch: Dispatch,
        hosts: usize,
        service_time: Duration,
    ) -> Self {
        let mut targets = Vec::new();
        let mut services = Map::default();
        for service in &catalogue.services {
            let mut shards = Vec::new();
            for shard in &service.shards {
                let first = targets.len();
                targets.extend(&shard.targets);
                shards.push(Shard { targets: (first..targets.len()).collect() });
            }
            services.insert(service.name.clone(), shards);
        }
        let is_hedged = dispatch == Dispatch::OwnerPerTarget;
        Self {
            services,
            routes: routes(&targets, dispatch, hosts),
            hedge: is_hedged.then_some(service_time * HEDGE_AFTER),
            random: dispatch == Dispatch::Naive,
            next_request: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            hedged: AtomicU64::new(0),
        }
    }

    /// Runs a query at a virtual host until all shards have responded or the timeout expires.
    pub(crate) async fn search(
        self: &Arc<Self>,
        host: usize,
        service: &str,
        query: &str,
        timeout: Duration,
    ) -> Answer {
        let deadline = Instant::now() + timeout;
        let (sender, mut parts) = mpsc::unbounded_channel();
        for shard in 0..self.services[service].len() {
            let (this, sender) = (self.clone(), sender.clone());
            let (service, query) = (service.to_owned(), query.to_owned());
            tokio::spawn(async move {
                let part = this.query_shard(host, &service, shard, &query, deadline).await;
                let _ = sender.send(part);
            });
        }
        drop(sender);
        let mut answer = Answer { snapshot: 1, coverage: 0.0, parts: Vec::new() };
        let mut coverage = sapphirerack_policy::Coverage::default();
        let gather = async {
            while let Some(part) = parts.recv().await {
                if let Some(part) = part
                    && coverage.add(part.span)
                {
                    answer.parts.push(part);
                }
            }
        };
        let _ = tokio::time::timeout_at(deadline.into(), gather).await;
        answer.coverage = coverage.fraction();
        answer
    }

    async fn query_shard(
        self: &Arc<Self>,
        host: usize,
        service: &str,
        shard: usize,
        query: &str,
        deadline: Instant,
    ) -> Option<Part> {
        let targets = &self.services[service][shard].targets;
        let first = self.select(host, targets, None);
        let (sender, mut parts) = mpsc::unbounded_channel();
        self.send(host, first, query, deadline, sender.clone());
        let wait = match (self.hedge, self.random) {
            (_, true) => {
                drop(sender);
                return parts.recv().await.flatten();
            }
            (Some(hedge), _) => hedge,
            (None, _) => deadline.saturating_duration_since(Instant::now()),
        };
        let (part, timed_out) = match tokio::time::timeout(wait, parts.recv()).await {
            Ok(part) => (part.flatten(), false),
            Err(_) => (None, true),
        };
        if part.is_some() {
            return part;
        }
        // Retries a failed request at another replica; hedges a slow one if the budget allows.
        if !timed_out || self.try_hedge() {
            let second = self.select(host, targets, Some(first));
            self.send(host, second, query, deadline, sender.clone());
        }
        drop(sender);
        while let Some(part) = parts.recv().await {
            if part.is_some() {
                return part;
            }
        }
        None
    }

    fn send(
        self: &Arc<Self>,
        host: usize,
        target: usize,
        query: &str,
        deadline: Instant,
        sender: mpsc::UnboundedSender<Option<Part>>,
    ) {
        let route = self.routes[host][target].clone();
        let request = self.next_request.fetch_add(1, Ordering::Relaxed).to_string();
        let query = query.to_owned();
        self.sent.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            route.outstanding.fetch_add(1, Ordering::Relaxed);
            let call = send_search(&route, &request, query, deadline);
            let part = tokio::time::timeout_at(deadline.into(), call).await;
            route.outstanding.fetch_sub(1, Ordering::Relaxed);
            let _ = sender.send(part.ok().flatten());
        });
    }

    /// Selects a random replica, or the one with the fewest outstanding requests from this host.
    fn select(&self, host: usize, targets: &[usize], exclude: Option<usize>) -> usize {
        let candidates: Vec<usize> =
            targets.iter().copied().filter(|t| Some(*t) != exclude).collect();
        let candidates = if candidates.is_empty() { targets } else { &candidates };
        if self.random {
            return candidates[fastrand::usize(..candidates.len())];
        }
        let outstanding = |t: &usize| self.routes[host][*t].outstanding.load(Ordering::Relaxed);
        let fewest = candidates.iter().map(outstanding).min().unwrap();
        let best: Vec<usize> =
            candidates.iter().copied().filter(|t| outstanding(t) == fewest).collect();
        best[fastrand::usize(..best.len())]
    }

    /// Counts a hedged request if the budget allows one.
    fn try_hedge(&self) -> bool {
        let sent = self.sent.load(Ordering::Relaxed) as f64;
        let hedged = self.hedged.load(Ordering::Relaxed) as f64;
        let allowed = hedged < sent * HEDGE_BUDGET;
        if allowed {
            self.hedged.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }
}

fn routes(targets: &[&Target], dispatch: Dispatch, hosts: usize) -> Vec<Vec<Arc<Route>>> {
    let shared: Vec<_> = targets.iter().map(|t| limits(t, 1)).collect();
    let host = |_| {
        let routes = targets.iter().zip(&shared).map(|(target, shared)| {
            let (pool, slots) = match dispatch {
                Dispatch::OwnerPerTarget | Dispatch::Product => shared.clone(),
                Dispatch::StaticShares => limits(target, hosts),
                Dispatch::Naive => {
                    let pool = Pool::new(target.address, NAIVE_CONNECTIONS);
                    (Arc::new(pool), Arc::new(Semaphore::new(NAIVE_CONNECTIONS)))
                }
            };
            Arc::new(Route { pool, slots, outstanding: AtomicUsize::new(0) })
        });
        routes.collect()
    };
    (0..hosts).map(host).collect()
}

/// One of `hosts` equal shares of a target's connections and slots; at least 1 of each.
fn limits(target: &Target, hosts: usize) -> (Arc<Pool>, Arc<Semaphore>) {
    let share = |limit: u32| (limit as usize / hosts).max(1);
    let pool = Pool::new(target.address, share(target.connections));
    (Arc::new(pool), Arc::new(Semaphore::new(share(target.slots))))
}

async fn send_search(
    route: &Route,
    request: &str,
    query: String,
    deadline: Instant,
) -> Option<Part> {
    let _slot = route.slots.acquire().await;
    let remaining = deadline.saturating_duration_since(Instant::now());
    let deadline = std::time::SystemTime::now() + remaining;
    let deadline = deadline.duration_since(std::time::UNIX_EPOCH).unwrap();
    let headers = [
        ("x-request-id", request.to_owned()),
        ("x-snapshot", "1".to_owned()),
        ("x-deadline-us", deadline.as_micros().to_string()),
    ];
    let (status, body) = route.pool.post("/search", &headers, query.into_bytes()).await.ok()?;
    if status != 200 {
        return None;
    }
    let reply: Reply = serde_json::from_slice(&body).ok()?;
    let matches = reply.request == request && reply.snapshot == 1;
    matches.then_some(Part { span: reply.span, results: reply.results })
}

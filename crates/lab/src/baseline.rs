//! Simpler ways of dispatching, to compare the product with.
//!
//! They run inside the lab: a virtual entry host is a set of connection pools, so that they save
//! the product's hops between processes.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Catalogue, Map, Name, Span, Target};
use serde::Deserialize;
use tokio::sync::{Semaphore, mpsc};

use crate::answer::{Answer, Hit, Part};
use crate::client::Pool;
use crate::load::Dispatch;

/// Connections that a naive host opens to a target at most.
const NAIVE_CONNECTIONS: usize = 256;

/// Times the mean service time after which a sub-query is hedged.
const HEDGE_AFTER: u32 = 3;

/// Share of the sub-queries that may be hedged.
const HEDGE_BUDGET: f64 = 0.05;

#[derive(Deserialize)]
struct Reply {
    request: String,
    snapshot: u64,
    span: Span,
    results: Vec<Hit>,
}

/// A target as one virtual host sees it.
struct Route {
    pool: Arc<Pool>,
    slots: Arc<Semaphore>,
    open: AtomicUsize,
}

struct Shard {
    targets: Vec<usize>,
}

/// A set of virtual entry hosts.
pub(crate) struct Baseline {
    services: Map<Name, Vec<Shard>>,
    /// By host, then by target.
    routes: Vec<Vec<Arc<Route>>>,
    hedge: Option<Duration>,
    random: bool,
    next: AtomicU64,
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
        let hedges = dispatch == Dispatch::OwnerPerTarget;
        Self {
            services,
            routes: routes(&targets, dispatch, hosts),
            hedge: hedges.then_some(service_time * HEDGE_AFTER),
            random: dispatch == Dispatch::Naive,
            next: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            hedged: AtomicU64::new(0),
        }
    }

    /// Runs a query at a virtual host until it is complete or its time is up.
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
                let part = this.shard(host, &service, shard, &query, deadline).await;
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

    async fn shard(
        self: &Arc<Self>,
        host: usize,
        service: &str,
        shard: usize,
        query: &str,
        deadline: Instant,
    ) -> Option<Part> {
        let targets = &self.services[service][shard].targets;
        let first = self.choose(host, targets, None);
        let (sender, mut parts) = mpsc::unbounded_channel();
        self.start(host, first, query, deadline, sender.clone());
        let wait = match (self.hedge, self.random) {
            (_, true) => {
                drop(sender);
                return parts.recv().await.flatten();
            }
            (Some(hedge), _) => hedge,
            (None, _) => deadline.saturating_duration_since(Instant::now()),
        };
        let (part, hedges) = match tokio::time::timeout(wait, parts.recv()).await {
            Ok(part) => (part.flatten(), false),
            Err(_) => (None, true),
        };
        if part.is_some() {
            return part;
        }
        // A failed request is retried at another replica; a slow one is hedged within the budget.
        if !hedges || self.take_budget() {
            let second = self.choose(host, targets, Some(first));
            self.start(host, second, query, deadline, sender.clone());
        }
        drop(sender);
        while let Some(part) = parts.recv().await {
            if part.is_some() {
                return part;
            }
        }
        None
    }

    fn start(
        self: &Arc<Self>,
        host: usize,
        target: usize,
        query: &str,
        deadline: Instant,
        sender: mpsc::UnboundedSender<Option<Part>>,
    ) {
        let route = self.routes[host][target].clone();
        let request = self.next.fetch_add(1, Ordering::Relaxed).to_string();
        let query = query.to_owned();
        self.sent.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            route.open.fetch_add(1, Ordering::Relaxed);
            let call = ask(&route, &request, query, deadline);
            let part = tokio::time::timeout_at(deadline.into(), call).await;
            route.open.fetch_sub(1, Ordering::Relaxed);
            let _ = sender.send(part.ok().flatten());
        });
    }

    /// A random replica, or the one with the fewest open requests of this host.
    fn choose(&self, host: usize, targets: &[usize], not: Option<usize>) -> usize {
        let others: Vec<usize> = targets.iter().copied().filter(|t| Some(*t) != not).collect();
        let others = if others.is_empty() { targets } else { &others };
        if self.random {
            return others[fastrand::usize(..others.len())];
        }
        let open = |t: &usize| self.routes[host][*t].open.load(Ordering::Relaxed);
        let fewest = others.iter().map(open).min().unwrap();
        let best: Vec<usize> = others.iter().copied().filter(|t| open(t) == fewest).collect();
        best[fastrand::usize(..best.len())]
    }

    fn take_budget(&self) -> bool {
        let sent = self.sent.load(Ordering::Relaxed) as f64;
        let spent = self.hedged.load(Ordering::Relaxed) as f64;
        let left = spent < sent * HEDGE_BUDGET;
        if left {
            self.hedged.fetch_add(1, Ordering::Relaxed);
        }
        left
    }
}

fn routes(targets: &[&Target], dispatch: Dispatch, hosts: usize) -> Vec<Vec<Arc<Route>>> {
    let owned: Vec<_> = targets.iter().map(|t| limits(t, 1)).collect();
    let host = |_| {
        let routes = targets.iter().zip(&owned).map(|(target, owned)| {
            let (pool, slots) = match dispatch {
                Dispatch::OwnerPerTarget | Dispatch::Product => owned.clone(),
                Dispatch::StaticShares => limits(target, hosts),
                Dispatch::Naive => {
                    let pool = Pool::new(target.address, NAIVE_CONNECTIONS);
                    (Arc::new(pool), Arc::new(Semaphore::new(NAIVE_CONNECTIONS)))
                }
            };
            Arc::new(Route { pool, slots, open: AtomicUsize::new(0) })
        });
        routes.collect()
    };
    (0..hosts).map(host).collect()
}

/// One of `hosts` equal shares of a target's connections and slots, each at least 1.
fn limits(target: &Target, hosts: usize) -> (Arc<Pool>, Arc<Semaphore>) {
    let share = |limit: u32| (limit as usize / hosts).max(1);
    let pool = Pool::new(target.address, share(target.connections));
    (Arc::new(pool), Arc::new(Semaphore::new(share(target.slots))))
}

async fn ask(route: &Route, request: &str, query: String, deadline: Instant) -> Option<Part> {
    let _slot = route.slots.acquire().await;
    let left = deadline.saturating_duration_since(Instant::now());
    let unix = std::time::SystemTime::now() + left;
    let unix = unix.duration_since(std::time::UNIX_EPOCH).unwrap();
    let headers = [
        ("x-request-id", request.to_owned()),
        ("x-snapshot", "1".to_owned()),
        ("x-deadline-us", unix.as_micros().to_string()),
    ];
    let (status, body) = route.pool.post("/search", &headers, query.into_bytes()).await.ok()?;
    if status != 200 {
        return None;
    }
    let reply: Reply = serde_json::from_slice(&body).ok()?;
    let own = reply.request == request && reply.snapshot == 1;
    own.then_some(Part { span: reply.span, results: reply.results })
}

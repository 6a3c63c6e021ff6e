//! Drives one scattered query: sends what the state machine asks for and collects the parts.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Map, Name, Service};
use sapphirerack_policy::{
    Budget, Clock, Coverage, Host, Latency, Scatter, ShardError, ShardRequest, split_extra,
};
use sapphirerack_protocol::{Failure, Reply, Request, ShardResults, SubQuery, SubReply};

use crate::calls::{Answer, Call, Calls};
use crate::contacts::PING_DELAY;
use crate::gather::Gathered;
use crate::routes::Route;
use crate::settings::QuerySettings;
use crate::snapshots::Snapshots;

/// Part of a query's time after which a silent host is suspected, and its bounds.
const SUSPECT_PART: u32 = 5;
const SUSPECT_LEAST: Duration = Duration::from_millis(20);
const SUSPECT_MOST: Duration = Duration::from_millis(100);

/// What is kept of a service between queries.
struct Record {
    budget: Budget,
    latency: Latency,
}

/// Sends sub-queries and collects their answers.
pub(crate) struct Collector {
    clock: Arc<dyn Clock>,
    calls: Arc<Calls>,
    snapshots: Arc<Snapshots>,
    settings: QuerySettings,
    records: Mutex<Map<Name, Record>>,
}

/// A query on its way.
struct Run<'a> {
    collector: &'a Collector,
    service: &'a Service,
    query: SubQuery,
    scatter: Scatter<'a>,
    route: &'a Route,
    asks: Map<u64, (ShardRequest, Instant)>,
    sender: flume::Sender<Answer>,
    deadline: Instant,
    suspect_after: Duration,
    coverage: Coverage,
    parts: Vec<(Name, ShardResults)>,
    sent: u64,
    extra: u64,
    late: bool,
}

impl Collector {
    pub(crate) fn new(
        clock: Arc<dyn Clock>,
        calls: Arc<Calls>,
        snapshots: Arc<Snapshots>,
        settings: QuerySettings,
    ) -> Self {
        Self { clock, calls, snapshots, settings, records: Mutex::default() }
    }

    /// Runs a query until it is complete, nobody is left to ask, or its deadline passes.
    ///
    /// `query` names no shard yet.
    pub(crate) fn run(
        &self,
        service: &Service,
        route: &Route,
        query: SubQuery,
        deadline: Instant,
    ) -> Gathered {
        let (sender, answers) = flume::unbounded();
        let timeout = deadline.saturating_duration_since(self.clock.now());
        let mut run = Run {
            collector: self,
            service,
            query,
            scatter: Scatter::new(route.iter().map(Vec::as_slice)),
            route,
            asks: Map::default(),
            sender,
            deadline,
            suspect_after: (timeout / SUSPECT_PART).clamp(SUSPECT_LEAST, SUSPECT_MOST),
            coverage: Coverage::default(),
            parts: Vec::new(),
            sent: 0,
            extra: 0,
            late: false,
        };
        run.go(&answers);
        run.end()
    }

    /// Works with what is kept of a service.
    fn record<T>(&self, run: &Run<'_>, work: impl FnOnce(&mut Record) -> T) -> T {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let shards = run.service.shards.len() as f64;
        let tuning = self.settings.tuning();
        let record = records.entry(run.service.name.clone()).or_insert_with(|| Record {
            budget: Budget::new(0.0, tuning.burst + shards),
            latency: Latency::new(tuning.quantile),
        });
        work(record)
    }

    fn is_suspect(&self, host: &Host) -> bool {
        self.calls.contacts().is_suspect(host.address)
    }
}

impl Run<'_> {
    fn go(&mut self, answers: &flume::Receiver<Answer>) {
        let collector = self.collector;
        for peer in collector.calls.contacts().due_pings() {
            collector.calls.ping(peer);
        }
        self.earn();
        let asks = self.scatter.start(collector.clock.now(), &|h| collector.is_suspect(h));
        self.send(asks);
        while !self.scatter.is_done() {
            let now = collector.clock.now();
            if now >= self.deadline {
                return;
            }
            match answers.recv_deadline(self.wake(now)) {
                Ok(answer) => self.take(answer),
                Err(_) => self.look(),
            }
        }
    }

    /// Earns the entry host's part of the budget for the query's sub-queries.
    fn earn(&mut self) {
        let replicas = self.route.first().and_then(|c| c.first()).map_or(0, |c| c.replicas);
        let share = split_extra(self.collector.settings.extra, replicas).1;
        let shards = self.service.shards.len();
        self.collector.record(self, |r| {
            r.budget.set_share(share);
            (0..shards).for_each(|_| r.budget.earn());
        });
    }

    fn wake(&self, now: Instant) -> Instant {
        let delay = self.collector.record(self, |r| r.latency.high());
        let hedge = delay.and_then(|d| self.scatter.next_hedge(d)).filter(|at| *at > now);
        self.deadline.min(now + PING_DELAY).min(hedge.unwrap_or(self.deadline))
    }

    fn send(&mut self, asks: Vec<ShardRequest>) {
        if asks.is_empty() {
            return;
        }
        let now = self.collector.clock.now();
        let call = |ask: &ShardRequest| Call {
            index: ask.shard,
            peer: self.host(*ask).address,
            request: Request::Search(SubQuery {
                shard: self.service.shards[ask.shard].name.clone(),
                spill: self.scatter.spills(*ask),
                ..self.query.clone()
            }),
        };
        let calls = asks.iter().map(call).collect();
        let ids = self.collector.calls.send(calls, &self.sender);
        self.sent += ids.len() as u64;
        self.asks.extend(ids.into_iter().zip(asks.into_iter().map(|ask| (ask, now))));
    }

    fn host(&self, ask: ShardRequest) -> &Host {
        &self.route[ask.shard][ask.candidate].host
    }

    fn take(&mut self, answer: Answer) {
        let Some((ask, at)) = self.asks.remove(&answer.id) else { return };
        let setback = match answer.reply {
            Some(Reply::Found(reply)) => match self.accept(ask, reply) {
                Ok(()) => {
                    let time = self.collector.clock.now().saturating_duration_since(at);
                    self.collector.record(self, |r| r.latency.record(time));
                    return;
                }
                Err(setback) => setback,
            },
            _ => {
                self.collector.calls.contacts().suspect(self.host(ask).address);
                ShardError::Disconnected
            }
        };
        let (now, collector) = (self.collector.clock.now(), self.collector);
        let mut scatter = std::mem::take(&mut self.scatter);
        let next = collector.record(self, |r| {
            scatter.on_error(now, ask, setback, &|h| collector.is_suspect(h), &mut r.budget)
        });
        self.scatter = scatter;
        self.send(next.into_iter().collect());
    }

    /// Takes a part into the answer if it is of the snapshot and overlaps no other.
    fn accept(&mut self, ask: ShardRequest, reply: SubReply) -> Result<(), ShardError> {
        let shard = &self.service.shards[ask.shard].name;
        let centre = &self.host(ask).data_centre;
        self.collector.snapshots.learn(&self.service.name, shard, centre, reply.held);
        self.extra += u64::from(reply.extra);
        self.late |= reply.outcome.as_ref().err() == Some(&Failure::Timeout);
        let part = reply.outcome.map_err(setback)?;
        if part.snapshot != self.query.snapshot {
            return Err(ShardError::NoSnapshot);
        }
        let Some(others) = self.scatter.on_answer(ask) else { return Ok(()) };
        if self.coverage.add(part.span) {
            self.parts.push((shard.clone(), part));
        }
        self.withdraw(|other| others.contains(other));
        Ok(())
    }

    /// Looks after silent hosts and slow shards.
    fn look(&mut self) {
        let (now, collector) = (self.collector.clock.now(), self.collector);
        let contacts = collector.calls.contacts();
        let mut silent: Vec<Host> = Vec::new();
        let remote = |host: &Host| !collector.calls.is_own(host.address);
        for (_, host, asked) in self.scatter.in_flight().filter(|(_, h, _)| remote(h)) {
            if contacts.ping_due(host.address, asked) {
                collector.calls.ping(host.address);
            }
            if contacts.is_unresponsive(host.address, self.suspect_after) && !silent.contains(host)
            {
                contacts.suspect(host.address);
                silent.push(host.clone());
            }
        }
        let mut scatter = std::mem::take(&mut self.scatter);
        let asks = collector.record(self, |r| {
            let suspect = |h: &Host| collector.is_suspect(h);
            let mut asks = Vec::new();
            for host in &silent {
                asks.extend(scatter.on_silence(now, host, &suspect, &mut r.budget));
            }
            if let Some(delay) = r.latency.high() {
                asks.extend(scatter.hedge(now, delay, &suspect, &mut r.budget));
            }
            asks
        });
        self.scatter = scatter;
        self.send(asks);
    }

    /// Withdraws the open requests that match.
    fn withdraw(&mut self, matches: impl Fn(&ShardRequest) -> bool) {
        let ids: Vec<u64> =
            self.asks.extract_if(|_, (ask, _)| matches(ask)).map(|(id, _)| id).collect();
        self.collector.calls.withdraw(&ids);
    }

    fn end(mut self) -> Gathered {
        self.withdraw(|_| true);
        let is_complete = self.coverage.is_complete();
        Gathered {
            snapshot: self.query.snapshot,
            coverage: self.coverage,
            cut: !self.scatter.is_done() || (self.late && !is_complete),
            parts: self.parts,
            sent: self.sent,
            extra: self.extra + self.scatter.extra(),
        }
    }
}

fn setback(failure: Failure) -> ShardError {
    match failure {
        Failure::Busy(waiting) => ShardError::Busy(waiting),
        Failure::Overloaded => ShardError::Overloaded,
        Failure::NotOwner => ShardError::NotOwner,
        Failure::NoSnapshot => ShardError::NoSnapshot,
        Failure::Timeout | Failure::Target => ShardError::Failed,
        Failure::Link => ShardError::Disconnected,
    }
}

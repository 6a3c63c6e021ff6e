//! Drives one scattered query: sends the requests of its state machine and collects the results.

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
use crate::routes::ShardCandidates;
use crate::settings::QuerySettings;
use crate::snapshots::Snapshots;

/// A silent host is suspected after the query's timeout divided by this, within the bounds below.
const SUSPECT_DIVISOR: u32 = 5;
const MIN_SUSPECT_TIMEOUT: Duration = Duration::from_millis(20);
const MAX_SUSPECT_TIMEOUT: Duration = Duration::from_millis(100);

/// State of a service that outlives a query.
struct ServiceState {
    budget: Budget,
    latency: Latency,
}

/// Sends sub-queries and collects their replies.
pub(crate) struct Collector {
    clock: Arc<dyn Clock>,
    calls: Arc<Calls>,
    snapshots: Arc<Snapshots>,
    settings: QuerySettings,
    states: Mutex<Map<Name, ServiceState>>,
}

/// A query in flight.
struct QueryRun<'a> {
    collector: &'a Collector,
    service: &'a Service,
    query: SubQuery,
    scatter: Scatter<'a>,
    candidates: &'a ShardCandidates,
    /// Requests in flight by call id, with their time of sending.
    in_flight: Map<u64, (ShardRequest, Instant)>,
    sender: flume::Sender<Answer>,
    deadline: Instant,
    suspect_timeout: Duration,
    coverage: Coverage,
    parts: Vec<(Name, ShardResults)>,
    sent: u64,
    extra: u64,
    timed_out: bool,
}

impl Collector {
    pub(crate) fn new(
        clock: Arc<dyn Clock>,
        calls: Arc<Calls>,
        snapshots: Arc<Snapshots>,
        settings: QuerySettings,
    ) -> Self {
        Self { clock, calls, snapshots, settings, states: Mutex::default() }
    }

    /// Runs a query until it is complete, no candidate is left, or its deadline passes.
    ///
    /// The shard of `query` is filled in for each request.
    pub(crate) fn run(
        &self,
        service: &Service,
        candidates: &ShardCandidates,
        query: SubQuery,
        deadline: Instant,
    ) -> Gathered {
        let (sender, answers) = flume::unbounded();
        let timeout = deadline.saturating_duration_since(self.clock.now());
        let mut run = QueryRun {
            collector: self,
            service,
            query,
            scatter: Scatter::new(candidates.iter().map(Vec::as_slice)),
            candidates,
            in_flight: Map::default(),
            sender,
            deadline,
            suspect_timeout: (timeout / SUSPECT_DIVISOR)
                .clamp(MIN_SUSPECT_TIMEOUT, MAX_SUSPECT_TIMEOUT),
            coverage: Coverage::default(),
            parts: Vec::new(),
            sent: 0,
            extra: 0,
            timed_out: false,
        };
        run.drive(&answers);
        run.finish()
    }

    /// Calls `f` with the state of the service.
    fn with_state<T>(&self, run: &QueryRun<'_>, f: impl FnOnce(&mut ServiceState) -> T) -> T {
        let mut states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
        let shards = run.service.shards.len() as f64;
        let tuning = self.settings.tuning();
        let state = states.entry(run.service.name.clone()).or_insert_with(|| ServiceState {
            budget: Budget::new(0.0, tuning.burst + shards),
            latency: Latency::new(tuning.quantile),
        });
        f(state)
    }

    fn is_suspect(&self, host: &Host) -> bool {
        self.calls.contacts().is_suspect(host.address)
    }
}

impl QueryRun<'_> {
    fn drive(&mut self, answers: &flume::Receiver<Answer>) {
        let collector = self.collector;
        for peer in collector.calls.contacts().due_pings() {
            collector.calls.ping(peer);
        }
        self.earn_budget();
        let requests = self.scatter.start(collector.clock.now(), &|h| collector.is_suspect(h));
        self.send(requests);
        while !self.scatter.is_done() {
            let now = collector.clock.now();
            if now >= self.deadline {
                return;
            }
            match answers.recv_deadline(self.next_wake(now)) {
                Ok(answer) => self.handle_answer(answer),
                Err(_) => self.check_in_flight(),
            }
        }
    }

    /// Credits the entry host's share of the budget for the query's sub-queries.
    fn earn_budget(&mut self) {
        let replicas = self.candidates.first().and_then(|c| c.first()).map_or(0, |c| c.replicas);
        let share = split_extra(self.collector.settings.extra, replicas).1;
        let shards = self.service.shards.len();
        self.collector.with_state(self, |s| {
            s.budget.set_share(share);
            (0..shards).for_each(|_| s.budget.earn());
        });
    }

    fn next_wake(&self, now: Instant) -> Instant {
        let delay = self.collector.with_state(self, |s| s.latency.high());
        let hedge = delay.and_then(|d| self.scatter.next_hedge(d)).filter(|at| *at > now);
        self.deadline.min(now + PING_DELAY).min(hedge.unwrap_or(self.deadline))
    }

    fn send(&mut self, requests: Vec<ShardRequest>) {
        if requests.is_empty() {
            return;
        }
        let now = self.collector.clock.now();
        let call = |request: &ShardRequest| Call {
            index: request.shard,
            peer: self.host(*request).address,
            request: Request::Search(SubQuery {
                shard: self.service.shards[request.shard].name.clone(),
                spill: self.scatter.spills(*request),
                ..self.query.clone()
            }),
        };
        let calls = requests.iter().map(call).collect();
        let ids = self.collector.calls.send(calls, &self.sender);
        self.sent += ids.len() as u64;
        self.in_flight
            .extend(ids.into_iter().zip(requests.into_iter().map(|request| (request, now))));
    }

    fn host(&self, request: ShardRequest) -> &Host {
        &self.candidates[request.shard][request.candidate].host
    }

    fn handle_answer(&mut self, answer: Answer) {
        let Some((request, sent_at)) = self.in_flight.remove(&answer.id) else { return };
        let error = match answer.reply {
            Some(Reply::Found(reply)) => match self.accept(request, reply) {
                Ok(()) => {
                    let time = self.collector.clock.now().saturating_duration_since(sent_at);
                    self.collector.with_state(self, |s| s.latency.record(time));
                    return;
                }
                Err(error) => error,
            },
            _ => {
                self.collector.calls.contacts().suspect(self.host(request).address);
                ShardError::Disconnected
            }
        };
        let (now, collector) = (self.collector.clock.now(), self.collector);
        let mut scatter = std::mem::take(&mut self.scatter);
        let next = collector.with_state(self, |s| {
            scatter.on_error(now, request, error, &|h| collector.is_suspect(h), &mut s.budget)
        });
        self.scatter = scatter;
        self.send(next.into_iter().collect());
    }

    /// Adds a shard's results to the answer if they are of the query's snapshot and overlap no
    /// others.
    fn accept(&mut self, request: ShardRequest, reply: SubReply) -> Result<(), ShardError> {
        let shard = &self.service.shards[request.shard].name;
        let centre = &self.host(request).data_centre;
        self.collector.snapshots.record(&self.service.name, shard, centre, reply.held);
        self.extra += u64::from(reply.extra);
        self.timed_out |= reply.outcome.as_ref().err() == Some(&Failure::Timeout);
        let part = reply.outcome.map_err(shard_error)?;
        if part.snapshot != self.query.snapshot {
            return Err(ShardError::NoSnapshot);
        }
        let Some(others) = self.scatter.on_answer(request) else { return Ok(()) };
        if self.coverage.add(part.span) {
            self.parts.push((shard.clone(), part));
        }
        self.cancel(|other| others.contains(other));
        Ok(())
    }

    /// Pings silent hosts, suspects those that stay silent, and hedges slow shards.
    fn check_in_flight(&mut self) {
        let (now, collector) = (self.collector.clock.now(), self.collector);
        let contacts = collector.calls.contacts();
        let mut silent: Vec<Host> = Vec::new();
        let remote = |host: &Host| !collector.calls.is_own(host.address);
        for (_, host, sent_at) in self.scatter.in_flight().filter(|(_, h, _)| remote(h)) {
            if contacts.ping_due(host.address, sent_at) {
                collector.calls.ping(host.address);
            }
            if contacts.is_unresponsive(host.address, self.suspect_timeout)
                && !silent.contains(host)
            {
                contacts.suspect(host.address);
                silent.push(host.clone());
            }
        }
        let mut scatter = std::mem::take(&mut self.scatter);
        let requests = collector.with_state(self, |s| {
            let suspect = |h: &Host| collector.is_suspect(h);
            let mut requests = Vec::new();
            for host in &silent {
                requests.extend(scatter.on_silence(now, host, &suspect, &mut s.budget));
            }
            if let Some(delay) = s.latency.high() {
                requests.extend(scatter.hedge(now, delay, &suspect, &mut s.budget));
            }
            requests
        });
        self.scatter = scatter;
        self.send(requests);
    }

    /// Cancels the requests in flight that match.
    fn cancel(&mut self, matches: impl Fn(&ShardRequest) -> bool) {
        let ids: Vec<u64> = self
            .in_flight
            .extract_if(|_, (request, _)| matches(request))
            .map(|(id, _)| id)
            .collect();
        self.collector.calls.cancel(&ids);
    }

    fn finish(mut self) -> Gathered {
        self.cancel(|_| true);
        let is_complete = self.coverage.is_complete();
        Gathered {
            snapshot: self.query.snapshot,
            coverage: self.coverage,
            deadline_cut: !self.scatter.is_done() || (self.timed_out && !is_complete),
            parts: self.parts,
            sent: self.sent,
            extra: self.extra + self.scatter.extra(),
        }
    }
}

fn shard_error(failure: Failure) -> ShardError {
    match failure {
        Failure::Busy(waiting) => ShardError::Busy(waiting),
        Failure::Overloaded => ShardError::Overloaded,
        Failure::NotOwner => ShardError::NotOwner,
        Failure::NoSnapshot => ShardError::NoSnapshot,
        Failure::Timeout | Failure::Target => ShardError::Failed,
        Failure::Link => ShardError::Disconnected,
    }
}

//! Target selection of a service, and its budget for hedges and retries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Map, Name};
use sapphirerack_routes::Target;

use super::admission::Admission;
use super::cold::ColdLimit;
use super::replica::{Ending, Replica, SlowReport, Ticket};
use crate::Budget;

/// Part of the permitted extra requests that hosts use.
const EXTRA_USED: f64 = 0.9;

/// Part of the burst that hedges leave for retries.
const RETRY_RESERVE: f64 = 0.2;

/// Largest random addition to a target's cost; spreads the hosts over targets of similar cost.
const COST_JITTER: f64 = 0.05;

/// Requests that a host may always have in flight at a target, however small its share of the
/// connections is.
const MIN_IN_FLIGHT: usize = 2;

/// Limits that all hosts share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedLimits {
    /// Number of hosts that share the limits.
    pub hosts: usize,
    /// Extra requests (hedges and retries) to a service, as a share of its requests.
    pub extra: f64,
    /// Extra requests to a service beyond that share, from all hosts together.
    pub slack: f64,
}

impl SharedLimits {
    /// Tokens for extra requests that one host starts with.
    fn initial_tokens(&self) -> f64 {
        self.slack * EXTRA_USED / self.hosts.max(1) as f64
    }

    /// Most tokens that one host accumulates. With more hosts than slack, each host has to earn
    /// even its first extra request.
    fn burst(&self) -> f64 {
        self.initial_tokens().max(1.0)
    }
}

/// A target that was chosen for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Chosen target.
    pub target: Arc<Target>,
    /// Identifies the request for [`Balancer::end`].
    pub ticket: Ticket,
    /// Whether the target is remote although the host's own data centre has targets.
    pub substitute: bool,
}

/// Targets of one service.
#[derive(Debug)]
pub struct Balancer {
    replicas: Vec<Replica>,
    cold: Map<Name, ColdLimit>,
    cold_rate: f64,
    budget: Budget,
    limits: SharedLimits,
    /// Last ticket number.
    tickets: u64,
    connections: usize,
    request_limit: usize,
    admission: Admission,
    rng: fastrand::Rng,
}

impl Balancer {
    /// A service without targets; `rng` breaks ties.
    pub fn new(limits: SharedLimits, rng: fastrand::Rng, now: Instant) -> Self {
        let budget = Budget::new(limits.extra * EXTRA_USED, limits.burst());
        let mut budget = budget.with_reserve(RETRY_RESERVE);
        budget.limit(limits.initial_tokens());
        Self {
            replicas: Vec::new(),
            cold: Map::default(),
            cold_rate: 0.0,
            budget,
            limits,
            tickets: 0,
            connections: 1,
            request_limit: MIN_IN_FLIGHT,
            admission: Admission::new(now),
            rng,
        }
    }

    /// Sets the usable targets, and the request rate per second of a cold target (0: unlimited).
    pub fn update(&mut self, targets: &[Arc<Target>], home: &str, cold_rate: f64, now: Instant) {
        self.cold_rate = cold_rate;
        let same = |a: &Target, b: &Target| a.id == b.id && a.born == b.born;
        let mut replicas = Vec::with_capacity(targets.len());
        for target in targets {
            let known = self.replicas.iter().position(|r| same(r.target(), target));
            let replica = match known {
                Some(at) => {
                    let mut replica = self.replicas.swap_remove(at);
                    replica.update(target.clone(), now);
                    replica
                }
                None => Replica::new(target.clone(), &*target.data_centre == home, now),
            };
            replicas.push(replica);
        }
        self.replicas = replicas;
        let ids: Vec<Name> = self.replicas.iter().map(|r| r.target().id.clone()).collect();
        self.cold.retain(|id, _| ids.contains(id));
    }

    /// Admitted share of queries; 0 if no responsive target has capacity.
    pub fn admitted_share(&self, now: Instant) -> f64 {
        let is_usable =
            |r: &Replica| r.has_room(self.request_limit, now) && !r.is_unresponsive(now);
        if self.replicas.iter().any(is_usable) { self.admission.share(now) } else { 0.0 }
    }

    /// Sets the number of connections to each target that this host may use, and with it the most
    /// requests that it may have in flight at one target.
    pub fn set_connections(&mut self, connections: usize) {
        self.connections = connections;
        self.request_limit = connections.max(MIN_IN_FLIGHT);
    }

    /// Number of connections to each target that this host may use.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Admission control of the service.
    pub fn admission(&mut self) -> &mut Admission {
        &mut self.admission
    }

    /// Applies changed limits.
    pub fn set_shared_limits(&mut self, limits: SharedLimits) {
        if limits == self.limits {
            return;
        }
        self.limits = limits;
        self.budget.resize(limits.extra * EXTRA_USED, limits.burst());
        self.budget.limit(limits.initial_tokens());
    }

    /// Targets with their observed state.
    pub fn replicas(&self) -> &[Replica] {
        &self.replicas
    }

    /// Whether a slow answer was recorded at `now` that was not the first in a row.
    pub fn is_slow_again(&self, id: &str, now: Instant) -> bool {
        let replica = self.replicas.iter().find(|r| *r.target().id == *id);
        replica.is_some_and(|r| r.is_slow_again(now))
    }

    /// Merges the report of another host; true if a target thereby starts to count as slow.
    pub fn merge_report(&mut self, report: &SlowReport, now: Instant) -> bool {
        let replica = self.replicas.iter_mut().find(|r| r.target().id == report.target);
        replica.is_some_and(|r| r.merge_report(report, now))
    }

    /// Chooses the target with the lowest cost that is not in `tried`, has capacity and, if cold,
    /// is within its rate limit.
    ///
    /// `expected` is the expected latency, `overdue` the time after which the request is overdue.
    pub fn choose(
        &mut self,
        tried: &[Name],
        expected: Duration,
        overdue: Duration,
        now: Instant,
    ) -> Option<Choice> {
        let mut order: Vec<(f64, usize)> = Vec::with_capacity(self.replicas.len());
        for (at, replica) in self.replicas.iter().enumerate() {
            if !tried.contains(&replica.target().id) && replica.has_room(self.request_limit, now) {
                let jitter = self.rng.f64() * COST_JITTER;
                order.push((replica.cost(now) + jitter, at));
            }
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let at = order.into_iter().map(|(_, at)| at).find(|at| self.admits(*at, now))?;
        self.tickets += 1;
        let has_local = self.replicas.iter().any(Replica::is_local);
        let replica = &mut self.replicas[at];
        let ticket = replica.start(self.tickets, expected, overdue, now);
        let substitute = has_local && !replica.is_local();
        Some(Choice { target: replica.target().clone(), ticket, substitute })
    }

    fn admits(&mut self, at: usize, now: Instant) -> bool {
        let replica = &self.replicas[at];
        if self.cold_rate <= 0.0 || !replica.is_cold(now) {
            return true;
        }
        let limit = self.cold.entry(replica.target().id.clone()).or_default();
        limit.try_acquire(self.cold_rate, self.limits.hosts, now)
    }

    /// Records the end of a request; returns its latency, unless the target is gone.
    pub fn end(&mut self, choice: &Choice, ending: Ending, now: Instant) -> Option<Duration> {
        let replica = self.replicas.iter_mut().find(|r| r.target().id == choice.target.id)?;
        replica.end(choice.ticket, ending, now)
    }

    /// Adds the share of one caller's request to the budget for extra requests.
    pub fn earn(&mut self) {
        self.budget.earn();
    }

    /// Spends budget on a hedge of a request that is slow at the targets `open`; false without
    /// budget or without a target outside `open` that has capacity.
    pub fn try_hedge(&mut self, open: &[Name], now: Instant) -> bool {
        self.has_other(open, now) && self.budget.hedge()
    }

    fn has_other(&self, except: &[Name], now: Instant) -> bool {
        let mut others = self.replicas.iter().filter(|r| !except.contains(&r.target().id));
        others.any(|r| r.has_room(self.request_limit, now))
    }

    /// Spends budget on a retry of a failed request; false without budget or without a target
    /// outside `open` that has capacity.
    pub fn try_retry(&mut self, open: &[Name], now: Instant) -> bool {
        self.has_other(open, now) && self.budget.retry()
    }

    /// Data centres with a responsive target that has room.
    pub fn centres(&self, now: Instant) -> Vec<Name> {
        let is_usable =
            |r: &&Replica| r.has_room(self.request_limit, now) && !r.is_unresponsive(now);
        let usable = self.replicas.iter().filter(is_usable);
        usable.map(|r| r.target().data_centre.clone()).collect()
    }

    /// Whether a responsive target that does not hold this host off is not in `tried`.
    pub fn has_untried(&self, tried: &[Name], now: Instant) -> bool {
        let is_open = |r: &Replica| !r.is_unresponsive(now) && r.held_for(now).is_zero();
        self.replicas.iter().any(|r| !tried.contains(&r.target().id) && is_open(r))
    }

    /// Records that a target wants no requests from this host for `time`.
    pub fn hold_off(&mut self, id: &str, time: Duration, now: Instant) {
        let replica = self.replicas.iter_mut().find(|r| *r.target().id == *id);
        if let Some(replica) = replica {
            replica.hold_off(time, now);
        }
    }

    /// Time until a target takes requests again, if all of them hold this host off; `None` if one
    /// does not or there is no target.
    pub fn held_for(&self, now: Instant) -> Option<Duration> {
        let first = self.replicas.iter().map(|r| r.held_for(now)).min();
        first.filter(|time| !time.is_zero())
    }
}

//! Which target of a service gets a request, and whether a second one may be asked.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Map, Name};
use sapphirerack_routes::Target;

use super::admission::Admission;
use super::cold::ColdLimit;
use super::replica::{Ending, Replica, SlowReport, Ticket};
use crate::Budget;

/// Part of the permitted extra requests that is used.
const EXTRA_USED: f64 = 0.9;

/// Part of the slack that hedges leave for retries.
const RESERVE: f64 = 0.2;

/// Differences of cost below this are decided at random, so that hosts don't all choose the same
/// target.
const JITTER: f64 = 0.05;

/// Requests that a host may have at a target whatever its share of the connections is.
const LEAST_HELD: usize = 2;

/// What one host may do of what all hosts together may.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedLimits {
    /// Hosts that share the limits.
    pub hosts: usize,
    /// Extra requests (hedges and retries) a service gets, as a share of its requests.
    pub extra: f64,
    /// Extra requests that a service gets beyond that share, from all hosts together.
    pub slack: f64,
}

impl SharedLimits {
    /// Extra requests that one host may send before it has earned any.
    fn free(&self) -> f64 {
        self.slack * EXTRA_USED / self.hosts.max(1) as f64
    }

    /// Most extra requests that one host saves up. Where the hosts are more than the slack, each
    /// has to earn even the first one.
    fn burst(&self) -> f64 {
        self.free().max(1.0)
    }
}

/// A target that was chosen for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The target.
    pub target: Arc<Target>,
    /// To be given back when the request ends.
    pub ticket: Ticket,
    /// Whether it is only a substitute for targets in the host's own data centre.
    pub substitute: bool,
}

/// The targets of one service.
#[derive(Debug)]
pub struct Balancer {
    replicas: Vec<Replica>,
    cold: Map<Name, ColdLimit>,
    cold_rate: f64,
    budget: Budget,
    shares: SharedLimits,
    tickets: u64,
    limit: usize,
    admission: Admission,
    rng: fastrand::Rng,
}

impl Balancer {
    /// A service without targets; `rng` breaks ties.
    pub fn new(shares: SharedLimits, rng: fastrand::Rng, now: Instant) -> Self {
        let budget = Budget::new(shares.extra * EXTRA_USED, shares.burst());
        let mut budget = budget.with_reserve(RESERVE);
        budget.limit(shares.free());
        Self {
            replicas: Vec::new(),
            cold: Map::default(),
            cold_rate: 0.0,
            budget,
            shares,
            tickets: 0,
            limit: LEAST_HELD,
            admission: Admission::new(now),
            rng,
        }
    }

    /// Takes the usable targets, and the requests a second that a cold one bears (0: unlimited).
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

    /// Share of the queries that the service is asked for; 0 if no target has room and responds.
    pub fn admitted_share(&self, now: Instant) -> f64 {
        let is_usable = |r: &Replica| r.load() < self.limit && !r.is_unresponsive(now);
        if self.replicas.iter().any(is_usable) { self.admission.share(now) } else { 0.0 }
    }

    /// Takes the most requests that this host may have at one target.
    pub fn set_max_in_flight(&mut self, connections: usize) {
        self.limit = connections.max(LEAST_HELD);
    }

    /// How much of the service's load is admitted.
    pub fn admission(&mut self) -> &mut Admission {
        &mut self.admission
    }

    /// Takes changed shares.
    pub fn set_shared_limits(&mut self, shares: SharedLimits) {
        if shares == self.shares {
            return;
        }
        self.shares = shares;
        self.budget.resize(shares.extra * EXTRA_USED, shares.burst());
        self.budget.limit(shares.free());
    }

    /// The targets.
    pub fn replicas(&self) -> &[Replica] {
        &self.replicas
    }

    /// Whether a target was found to be slow just now.
    pub fn is_slow_again(&self, id: &str, now: Instant) -> bool {
        let replica = self.replicas.iter().find(|r| *r.target().id == *id);
        replica.is_some_and(|r| r.is_slow_again(now))
    }

    /// Takes over what another host reports; true if it is news.
    pub fn merge_report(&mut self, report: &SlowReport, now: Instant) -> bool {
        let replica = self.replicas.iter_mut().find(|r| r.target().id == report.target);
        replica.is_some_and(|r| r.merge_report(report, now))
    }

    /// Chooses the target that is expected to answer first, but for those in `tried`.
    ///
    /// `usual` and `overdue` are the times in which the answer is expected and after which it is
    /// overdue.
    pub fn choose(
        &mut self,
        tried: &[Name],
        usual: Duration,
        overdue: Duration,
        now: Instant,
    ) -> Option<Choice> {
        let mut order: Vec<(f64, usize)> = Vec::with_capacity(self.replicas.len());
        for (at, replica) in self.replicas.iter().enumerate() {
            if !tried.contains(&replica.target().id) && replica.load() < self.limit {
                let jitter = self.rng.f64() * JITTER;
                order.push((replica.cost(now) + jitter, at));
            }
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let at = order.into_iter().map(|(_, at)| at).find(|at| self.admits(*at, now))?;
        self.tickets += 1;
        let has_local = self.replicas.iter().any(Replica::is_local);
        let replica = &mut self.replicas[at];
        let ticket = replica.start(self.tickets, usual, overdue, now);
        let substitute = has_local && !replica.is_local();
        Some(Choice { target: replica.target().clone(), ticket, substitute })
    }

    fn admits(&mut self, at: usize, now: Instant) -> bool {
        let replica = &self.replicas[at];
        if self.cold_rate <= 0.0 || !replica.is_cold(now) {
            return true;
        }
        let limit = self.cold.entry(replica.target().id.clone()).or_default();
        limit.try_acquire(self.cold_rate, self.shares.hosts, now)
    }

    /// Takes note of the end of a request; its latency, unless the target has gone meanwhile.
    pub fn end(&mut self, choice: &Choice, ending: Ending, now: Instant) -> Option<Duration> {
        let replica = self.replicas.iter_mut().find(|r| r.target().id == choice.target.id)?;
        replica.end(choice.ticket, ending, now)
    }

    /// Earns extra requests by a request of a caller.
    pub fn earn(&mut self) {
        self.budget.earn();
    }

    /// Takes leave for a second request because the first is slow at one of `open`; not if there
    /// is no other target with room.
    pub fn try_hedge(&mut self, open: &[Name]) -> bool {
        self.has_other(open) && self.budget.hedge()
    }

    fn has_other(&self, but: &[Name]) -> bool {
        self.replicas.iter().any(|r| r.load() < self.limit && !but.contains(&r.target().id))
    }

    /// Takes leave for a second request because the first has failed.
    pub fn try_retry(&mut self, open: &[Name]) -> bool {
        self.has_other(open) && self.budget.retry()
    }

    /// Whether some target is not among `tried` and responds.
    pub fn has_untried(&self, tried: &[Name], now: Instant) -> bool {
        let is_untried = |r: &Replica| !tried.contains(&r.target().id) && !r.is_unresponsive(now);
        self.replicas.iter().any(is_untried)
    }
}

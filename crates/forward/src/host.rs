//! State that the modules of a host share.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use sapphirerack_catalogue::{Map, Name, Set};
use sapphirerack_policy::direct::{
    Balancer, CONNECTIONS_USED, Gatherers, LatencyEstimator, SharedLimits, SlowReport, Split,
    designate, limit_share,
};
use sapphirerack_policy::{Clock, Host as HostName, Membership};
use sapphirerack_protocol::Liveness;
use sapphirerack_routes::{Departure, Departures, Route, Service, Target, View};
use tokio::sync::Notify;

use crate::answer_memory::AnswerMemory;
use crate::client::Pool;
use crate::links::Links;
use crate::log_limit::LogLimit;
use crate::metrics::Metrics;
use crate::{Dialect, Settings};

/// Initial estimate of a route's latency, as a share of its latency objective.
const INITIAL_LATENCY: f64 = 0.2;

/// Least number of hosts by which shared limits are divided, so that a host that has not discovered
/// the others yet does not use them up.
const MIN_HOSTS: usize = 3;

/// Lifecycle phase of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Has no configuration yet.
    Starting,
    /// Accepts requests.
    Serving,
    /// Is shutting down.
    Leaving,
}

/// State of a host; all tasks that use it run on one thread.
pub(crate) struct Host {
    pub settings: RefCell<Settings>,
    pub dialect: Dialect,
    pub clock: Arc<dyn Clock>,
    pub metrics: Metrics,
    /// Limits log lines on failed requests.
    pub failure_log: LogLimit,
    /// Limits log lines on requests without a route.
    pub unrouted_log: LogLimit,
    /// Limits log lines on queries with missing parts.
    pub incomplete_log: LogLimit,
    /// Limits log lines on queries that are passed to another gatherer.
    pub moved_log: LogLimit,
    pub view: RefCell<View>,
    pub members: RefCell<Membership>,
    pub pool: Pool,
    /// Links to the hosts that gather queries.
    pub links: Links,
    /// Memory for the answers of targets.
    pub answers: AnswerMemory,
    /// Notified when reports of slow targets should be gossiped without delay.
    pub slow_changed: Notify,
    /// Notified when departures of targets should be gossiped without delay.
    pub departed: Notify,
    /// Notified when the shutdown starts.
    pub stopping: Notify,
    /// Notified when requests in flight must be answered because the process is about to exit.
    pub grace_over: Notify,
    phase: Cell<Phase>,
    /// Highest number of hosts that were live at the same time.
    peak_hosts: Cell<usize>,
    departures: RefCell<Departures>,
    gatherers: RefCell<Gatherers>,
    /// Epoch of the membership from which the gatherers were designated.
    epoch: Cell<u64>,
    services: RefCell<Map<Name, Balancer>>,
    latencies: RefCell<Map<Name, LatencyEstimator>>,
    splits: RefCell<Map<Name, Split>>,
}

impl Host {
    pub(crate) fn new(
        settings: Settings,
        dialect: Dialect,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        members: Membership,
    ) -> Self {
        let (name, home) = (settings.name.clone(), settings.data_centre.clone());
        Self {
            settings: RefCell::new(settings),
            dialect,
            clock,
            metrics,
            failure_log: LogLimit::default(),
            unrouted_log: LogLimit::default(),
            incomplete_log: LogLimit::default(),
            moved_log: LogLimit::default(),
            view: RefCell::default(),
            members: RefCell::new(members),
            pool: Pool::default(),
            links: Links::default(),
            answers: AnswerMemory::default(),
            slow_changed: Notify::new(),
            departed: Notify::new(),
            stopping: Notify::new(),
            grace_over: Notify::new(),
            phase: Cell::new(Phase::Starting),
            peak_hosts: Cell::new(MIN_HOSTS),
            departures: RefCell::default(),
            gatherers: RefCell::new(Gatherers::new(name, home, fastrand::Rng::new())),
            epoch: Cell::new(0),
            services: RefCell::default(),
            latencies: RefCell::default(),
            splits: RefCell::default(),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Starts the shutdown.
    pub(crate) fn leave(&self) {
        self.phase.set(Phase::Leaving);
        self.members.borrow_mut().leave(self.now());
        self.stopping.notify_waiters();
    }

    /// Updates what depends on the view, the settings or the number of hosts.
    pub(crate) fn update(&self) {
        let now = self.now();
        let view = self.view.borrow();
        let configuration = view.table().configuration();
        let mut by_service: Map<Name, Vec<Arc<Target>>> = Map::default();
        for target in view.usable() {
            by_service.entry(target.service.clone()).or_default().push(target.clone());
        }
        let shards = configuration.shards();
        self.gatherers.borrow_mut().set(self.designated(&view, &shards));
        self.epoch.set(self.members.borrow().epoch());
        let data_centre = self.settings.borrow().data_centre.clone();
        let mut services = self.services.borrow_mut();
        services.retain(|name, _| configuration.services.contains_key(name));
        for (name, service) in &configuration.services {
            let share = self.limit_share(shards.contains(name));
            let limits = self.shared_limits(share);
            let balancer = services
                .entry(name.clone())
                .or_insert_with(|| Balancer::new(limits, fastrand::Rng::new(), now));
            balancer.set_shared_limits(limits);
            balancer.set_max_in_flight(max_connections(service, share));
            let targets = by_service.remove(name).unwrap_or_default();
            balancer.update(&targets, &data_centre, service.cold_rate, now);
        }
        let mut latencies = self.latencies.borrow_mut();
        latencies.retain(|name, _| configuration.routes.iter().any(|r| r.name == *name));
        if view.version() > 0 && self.phase() == Phase::Starting {
            self.phase.set(Phase::Serving);
            log::info!("event=serving version={}", view.version());
        }
    }

    /// Records that a process of a target is about to exit: it gets no new requests, and other
    /// hosts are told.
    pub(crate) fn record_departure(&self, target: &Name, born: u64) {
        if !self.view.borrow_mut().registry_mut().mark_leaving(target, born) {
            return;
        }
        log::info!("event=target_leaving target={target} born={born}");
        let departure = Departure { target: target.clone(), born };
        self.departures.borrow_mut().add(departure, self.now());
        self.update();
        self.departed.notify_one();
    }

    /// Departures of targets for other hosts, `max` at most.
    pub(crate) fn recent_departures(&self, max: usize) -> Vec<Departure> {
        self.departures.borrow_mut().recent(max, self.now())
    }

    /// Applies changes of the membership.
    pub(crate) fn update_members(&self) {
        let epoch = self.members.borrow().epoch();
        if epoch == self.epoch.get() {
            return;
        }
        let live = self.members.borrow().live().len();
        self.peak_hosts.set(self.peak_hosts.get().max(live));
        self.update();
    }

    /// Hosts that gather the queries over these shards.
    fn designated(&self, view: &View, shards: &Set<Name>) -> Vec<HostName> {
        let services = &view.table().configuration().services;
        let limits = shards.iter().filter_map(|s| services.get(s)).map(|s| s.connections);
        let Some(connections) = limits.min() else { return Vec::new() };
        let targets = view.usable().filter(|t| shards.contains(&t.service));
        let centres: Set<Name> = targets.map(|t| t.data_centre.clone()).collect();
        designate(&self.members.borrow().live(), self.peak_hosts.get(), &centres, connections)
    }

    /// Share of the limits on the targets of a service that this host may use.
    fn limit_share(&self, is_shard: bool) -> f64 {
        let gatherers = self.gatherers.borrow();
        let count = if is_shard { gatherers.count() } else { 0 };
        limit_share(gatherers.includes_own(), count, self.peak_hosts.get())
    }

    fn shared_limits(&self, share: f64) -> SharedLimits {
        let bounds = self.settings.borrow().bounds.clone();
        let hosts = (1.0 / share).ceil() as usize;
        SharedLimits { hosts, extra: bounds.extra, slack: bounds.slack }
    }

    /// Most idle connections that this host keeps to each target of a service.
    pub(crate) fn max_idle(&self, service: &Name) -> usize {
        let known = self.with_balancer(service, |b| b.max_connections());
        known.unwrap_or(1)
    }

    /// Whether this host gathers the queries of its callers itself.
    pub(crate) fn gathers_own_queries(&self) -> bool {
        self.gatherers.borrow().includes_own()
    }

    /// Runs `f` on the gatherers.
    pub(crate) fn with_gatherers<T>(&self, f: impl FnOnce(&mut Gatherers) -> T) -> T {
        f(&mut self.gatherers.borrow_mut())
    }

    /// Chooses a gatherer that is not in `tried` for a query.
    pub(crate) fn choose_gatherer(&self, tried: &[Name]) -> Option<HostName> {
        let members = self.members.borrow();
        let is_suspect = |name: &Name| members.liveness(name) != Some(Liveness::Alive);
        self.gatherers.borrow_mut().choose(tried, is_suspect, self.now())
    }

    /// Other data centres with gatherers.
    pub(crate) fn partner_centres(&self) -> Set<Name> {
        let home = &self.settings.borrow().data_centre;
        let gatherers = self.gatherers.borrow();
        gatherers.centres().filter(|c| *c != home).cloned().collect()
    }

    /// Chooses a gatherer of another data centre for a part of a query.
    pub(crate) fn choose_partner(&self, data_centre: &str) -> Option<HostName> {
        let members = self.members.borrow();
        let is_sound = |name: &Name| members.liveness(name) == Some(Liveness::Alive);
        self.gatherers.borrow_mut().choose_in(data_centre, is_sound, self.now())
    }

    /// Logs that a gatherer did not gather a query that was passed to it.
    pub(crate) fn log_moved(&self, id: &HeaderValue, gatherer: &str, reason: &str) {
        let Some(suppressed) = self.moved_log.admit(self.now()) else { return };
        let id = id.to_str().unwrap_or("?");
        log::info!(
            "event=query_moved id={id} gatherer={gatherer} reason=\"{reason}\" \
             suppressed={suppressed}"
        );
    }

    /// Runs `f` on the balancer of a service; `None` if the service is not known.
    pub(crate) fn with_balancer<T>(
        &self,
        service: &Name,
        f: impl FnOnce(&mut Balancer) -> T,
    ) -> Option<T> {
        self.services.borrow_mut().get_mut(service).map(f)
    }

    /// Observed state of the targets of a service, for the log.
    pub(crate) fn describe_replicas(&self, service: &Name) -> String {
        let now = self.now();
        let describe = |b: &mut Balancer| {
            let replicas = b.replicas().iter().map(|r| r.describe(now));
            replicas.collect::<Vec<_>>().join(",")
        };
        self.with_balancer(service, describe).unwrap_or_default()
    }

    /// Reports of slow targets for other hosts, the most recent first.
    pub(crate) fn slow_reports(&self, max: usize) -> Vec<SlowReport> {
        let now = self.now();
        let services = self.services.borrow();
        let replicas = services.values().flat_map(|b| b.replicas());
        let mut reports: Vec<SlowReport> = replicas.filter_map(|r| r.report(now)).collect();
        reports.sort_by_key(|r| r.age);
        reports.truncate(max);
        reports
    }

    /// Merges the reports of another host; true if a target thereby starts to count as slow.
    pub(crate) fn merge_reports(&self, reports: &[SlowReport]) -> bool {
        let now = self.now();
        let view = self.view.borrow();
        let mut changed = false;
        for report in reports {
            let Some(target) = view.registry().get(&report.target) else { continue };
            changed |= self
                .with_balancer(&target.service, |b| b.merge_report(report, now))
                .unwrap_or_default();
        }
        changed
    }

    /// Runs `f` on the latency estimator of a route.
    pub(crate) fn with_latency<T>(
        &self,
        route: &Route,
        f: impl FnOnce(&mut LatencyEstimator) -> T,
    ) -> T {
        let mut latencies = self.latencies.borrow_mut();
        if let Some(known) = latencies.get_mut(&route.name) {
            return f(known);
        }
        let initial = route.aim.mul_f64(INITIAL_LATENCY).max(Duration::from_millis(1));
        f(latencies.entry(route.name.clone()).or_insert_with(|| LatencyEstimator::new(initial)))
    }

    /// Runs `f` on the weighted round robin of a route's services.
    pub(crate) fn with_split<T>(&self, route: &Route, f: impl FnOnce(&mut Split) -> T) -> T {
        f(self.splits.borrow_mut().entry(route.name.clone()).or_default())
    }
}

/// This host's share of the connections that each target of a service accepts.
fn max_connections(service: &Service, share: f64) -> usize {
    ((f64::from(service.connections) * CONNECTIONS_USED * share) as usize).max(1)
}

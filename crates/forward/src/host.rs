//! What the parts of a host share.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Map, Name};
use sapphirerack_policy::direct::{Balancer, LatencyEstimator, SharedLimits, SlowReport, Split};
use sapphirerack_policy::{Clock, Membership};
use sapphirerack_routes::{Route, Service, Target, View};
use tokio::sync::Notify;

use crate::client::Pool;
use crate::log_limit::LogLimit;
use crate::metrics::Metrics;
use crate::{Dialect, Settings};

/// Part of a route's aim that its targets are expected to need, before any answer was seen.
const FIRST_GUESS: f64 = 0.2;

/// Part of the connections of a target that the hosts use together.
const CONNECTIONS_USED: f64 = 0.85;

/// Fewest hosts among which limits are divided, so that a host that knows no other yet does not
/// take them all.
const LEAST_HOSTS: usize = 3;

/// Where a host stands between start and end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Knows no configuration yet.
    Starting,
    /// Takes requests.
    Serving,
    /// Was told to stop.
    Leaving,
}

/// State of a host, for the one thread that runs all its parts.
pub(crate) struct Host {
    pub settings: RefCell<Settings>,
    pub dialect: Dialect,
    pub clock: Arc<dyn Clock>,
    pub metrics: Metrics,
    /// Lines on requests that failed.
    pub failures: LogLimit,
    /// Lines on requests without a route.
    pub strays: LogLimit,
    /// Lines on answers that lack parts.
    pub shortages: LogLimit,
    pub view: RefCell<View>,
    pub members: RefCell<Membership>,
    pub pool: Pool,
    /// Rings when other hosts should hear at once of a slow target.
    pub news: Notify,
    /// Rings when the host was told to stop.
    pub stopping: Notify,
    /// Rings when open requests must be answered since the process ends.
    pub ending: Notify,
    phase: Cell<Phase>,
    /// Most hosts that were live at the same time.
    most: Cell<usize>,
    services: RefCell<Map<Name, Balancer>>,
    typical: RefCell<Map<Name, LatencyEstimator>>,
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
        Self {
            settings: RefCell::new(settings),
            dialect,
            clock,
            metrics,
            failures: LogLimit::default(),
            strays: LogLimit::default(),
            shortages: LogLimit::default(),
            view: RefCell::default(),
            members: RefCell::new(members),
            pool: Pool::default(),
            news: Notify::new(),
            stopping: Notify::new(),
            ending: Notify::new(),
            phase: Cell::new(Phase::Starting),
            most: Cell::new(LEAST_HOSTS),
            services: RefCell::default(),
            typical: RefCell::default(),
            splits: RefCell::default(),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Takes note that the host was told to stop.
    pub(crate) fn leave(&self) {
        self.phase.set(Phase::Leaving);
        self.members.borrow_mut().leave(self.now());
        self.stopping.notify_waiters();
    }

    /// Brings everything up to date that depends on the view, the settings or the number of hosts.
    pub(crate) fn update(&self) {
        let now = self.now();
        let view = self.view.borrow();
        let configuration = view.table().configuration();
        let mut by_service: Map<Name, Vec<Arc<Target>>> = Map::default();
        for target in view.usable() {
            by_service.entry(target.service.clone()).or_default().push(target.clone());
        }
        let shares = self.shares();
        let home = self.settings.borrow().data_centre.clone();
        let mut services = self.services.borrow_mut();
        services.retain(|name, _| configuration.services.contains_key(name));
        for (name, service) in &configuration.services {
            let balance = services
                .entry(name.clone())
                .or_insert_with(|| Balancer::new(shares, fastrand::Rng::new(), now));
            balance.set_shared_limits(shares);
            balance.set_max_in_flight(self.connections(service));
            let targets = by_service.remove(name).unwrap_or_default();
            balance.update(&targets, &home, service.cold_rate, now);
        }
        let mut typical = self.typical.borrow_mut();
        typical.retain(|name, _| configuration.routes.iter().any(|r| r.name == *name));
        if view.version() > 0 && self.phase() == Phase::Starting {
            self.phase.set(Phase::Serving);
            log::info!("event=serving version={}", view.version());
        }
    }

    /// Takes note of the hosts that are live now.
    pub(crate) fn hosts_changed(&self, live: usize) {
        if live > self.most.get() {
            self.most.set(live);
            self.update();
        }
    }

    fn shares(&self) -> SharedLimits {
        let bounds = self.settings.borrow().bounds.clone();
        SharedLimits { hosts: self.most.get(), extra: bounds.extra, slack: bounds.slack }
    }

    /// Connections to each target of a service that are this host's share.
    fn connections(&self, service: &Service) -> usize {
        let share = f64::from(service.connections) * CONNECTIONS_USED / self.most.get() as f64;
        (share as usize).max(1)
    }

    /// Idle connections that this host keeps to each target of a service.
    pub(crate) fn kept(&self, service: &Name) -> usize {
        let view = self.view.borrow();
        let known = view.table().configuration().services.get(service);
        known.map_or(1, |s| self.connections(s))
    }

    /// Runs `f` on the targets of a service; `None` if the service is not known.
    pub(crate) fn balance<T>(
        &self,
        service: &Name,
        f: impl FnOnce(&mut Balancer) -> T,
    ) -> Option<T> {
        self.services.borrow_mut().get_mut(service).map(f)
    }

    /// What is believed of the targets of a service, for the log.
    pub(crate) fn describe(&self, service: &Name) -> String {
        let now = self.now();
        let describe = |b: &mut Balancer| {
            let replicas = b.replicas().iter().map(|r| r.describe(now));
            replicas.collect::<Vec<_>>().join(",")
        };
        self.balance(service, describe).unwrap_or_default()
    }

    /// What other hosts should know of slow targets, the latest first.
    pub(crate) fn slow_reports(&self, most: usize) -> Vec<SlowReport> {
        let now = self.now();
        let services = self.services.borrow();
        let replicas = services.values().flat_map(|b| b.replicas());
        let mut reports: Vec<SlowReport> = replicas.filter_map(|r| r.report(now)).collect();
        reports.sort_by_key(|r| r.age);
        reports.truncate(most);
        reports
    }

    /// Takes over what another host reports of slow targets; true if some of it is news.
    pub(crate) fn hear(&self, reports: &[SlowReport]) -> bool {
        let now = self.now();
        let view = self.view.borrow();
        let mut news = false;
        for report in reports {
            let Some(target) = view.registry().get(&report.target) else { continue };
            news |=
                self.balance(&target.service, |b| b.merge_report(report, now)).unwrap_or_default();
        }
        news
    }

    /// Runs `f` on the usual latency of a route.
    pub(crate) fn typical<T>(
        &self,
        route: &Route,
        f: impl FnOnce(&mut LatencyEstimator) -> T,
    ) -> T {
        let mut typical = self.typical.borrow_mut();
        if let Some(known) = typical.get_mut(&route.name) {
            return f(known);
        }
        let guess = route.aim.mul_f64(FIRST_GUESS).max(Duration::from_millis(1));
        f(typical.entry(route.name.clone()).or_insert_with(|| LatencyEstimator::new(guess)))
    }

    /// Runs `f` on the shares that a route's services have had.
    pub(crate) fn split<T>(&self, route: &Route, f: impl FnOnce(&mut Split) -> T) -> T {
        f(self.splits.borrow_mut().entry(route.name.clone()).or_default())
    }
}

//! State that the modules of a host share.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use sapphirerack_catalogue::{Map, Name};
use sapphirerack_http::Quota;
use sapphirerack_policy::direct::{
    Balancer, CONNECTIONS_USED, LatencyEstimator, SharedLimits, SlowReport, Split,
};
use sapphirerack_policy::{Clock, Membership};
use sapphirerack_routes::{Departure, Departures, Route, Service, Target, View};
use tokio::sync::{Notify, watch};

use crate::answer_memory::AnswerMemory;
use crate::client::Pool;
use crate::fleet::Fleet;
use crate::links::Links;
use crate::log_limit::LogLimit;
use crate::metrics::Metrics;
use crate::{Dialect, Settings};

/// Initial estimate of a route's latency, as a share of its latency objective.
const INITIAL_LATENCY: f64 = 0.2;

/// Time before the end of the grace period at which requests in flight are answered.
const CLOSING_TIME: Duration = Duration::from_millis(600);

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
    /// Limits log lines on requests that were rejected before they were routed or read.
    pub rejected_log: LogLimit,
    /// Limits log lines on requests without a route.
    pub unrouted_log: LogLimit,
    /// Limits log lines on queries with missing parts.
    pub incomplete_log: LogLimit,
    /// Limits log lines on targets in trouble.
    pub target_log: LogLimit,
    /// Limits log lines on queries that are passed to another gatherer.
    pub moved_log: LogLimit,
    pub view: RefCell<View>,
    pub fleet: Fleet,
    pub pool: Pool,
    /// Links to the hosts that gather queries.
    pub links: Links,
    /// Bound of what callers hold together.
    pub callers: Quota,
    /// Memory for the answers of targets.
    pub answers: AnswerMemory,
    /// Notified when reports of slow targets should be gossiped without delay.
    pub slow_changed: Notify,
    /// Notified when departures of targets should be gossiped without delay.
    pub departed: Notify,
    /// Notified when the shutdown starts.
    pub stopping: Notify,
    phase: Cell<Phase>,
    /// When requests in flight must be answered, as the process is about to exit; unset while it
    /// does not stop.
    closing: watch::Sender<Option<Instant>>,
    departures: RefCell<Departures>,
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
        let callers = Quota::new(settings.machine.caller_capacity(), clock.clone());
        metrics.show_callers(&callers);
        Self {
            settings: RefCell::new(settings),
            dialect,
            clock,
            metrics,
            failure_log: LogLimit::default(),
            rejected_log: LogLimit::default(),
            unrouted_log: LogLimit::default(),
            incomplete_log: LogLimit::default(),
            target_log: LogLimit::default(),
            moved_log: LogLimit::default(),
            view: RefCell::default(),
            fleet: Fleet::new(members, name, home),
            pool: Pool::default(),
            links: Links::default(),
            callers,
            answers: AnswerMemory::default(),
            slow_changed: Notify::new(),
            departed: Notify::new(),
            stopping: Notify::new(),
            phase: Cell::new(Phase::Starting),
            closing: watch::Sender::new(None),
            departures: RefCell::default(),
            services: RefCell::default(),
            latencies: RefCell::default(),
            splits: RefCell::default(),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Time for what is known of the store and of other hosts; goes on while the machine is
    /// suspended.
    pub(crate) fn boot_time(&self) -> Instant {
        self.clock.boot_time()
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Starts the shutdown.
    pub(crate) fn leave(&self) {
        self.phase.set(Phase::Leaving);
        let grace = Duration::from_secs(self.settings.borrow().stop.grace);
        self.closing.send_replace(Some(self.now() + grace.saturating_sub(CLOSING_TIME)));
        self.fleet.members.borrow_mut().leave(self.boot_time());
        self.stopping.notify_waiters();
    }

    /// When requests in flight must be answered, if the host is stopping.
    pub(crate) fn closing(&self) -> Option<Instant> {
        *self.closing.borrow()
    }

    /// Waits until requests in flight must be answered.
    pub(crate) async fn await_closing(&self) {
        let mut closing = self.closing.subscribe();
        // The sender lives as long as the host, so that there is no error.
        if let Ok(at) = closing.wait_for(Option::is_some).await.map(|at| *at)
            && let Some(at) = at
        {
            tokio::time::sleep_until(at.into()).await;
        }
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
        self.fleet.designate(&view, &shards);
        let data_centre = self.settings.borrow().data_centre.clone();
        let mut services = self.services.borrow_mut();
        services.retain(|name, _| configuration.services.contains_key(name));
        for (name, service) in &configuration.services {
            let share = self.fleet.limit_share(shards.contains(name));
            let limits = self.shared_limits(share);
            let balancer = services
                .entry(name.clone())
                .or_insert_with(|| Balancer::new(limits, fastrand::Rng::new(), now));
            balancer.set_shared_limits(limits);
            balancer.set_connections(max_connections(service, share));
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

    /// Records the era of the store in which the view is.
    pub(crate) fn record_era(&self) {
        let era = self.view.borrow().era();
        let before = self.metrics.set_era(era);
        if before > 0 && era > before {
            log::warn!("event=store_restored era={era} before={before}");
            self.metrics.count_restore();
        }
    }

    /// Applies changes of the membership.
    pub(crate) fn update_members(&self) {
        if self.fleet.update(self.now()) {
            self.update();
        }
    }

    fn shared_limits(&self, share: f64) -> SharedLimits {
        let bounds = self.settings.borrow().bounds.clone();
        let hosts = (1.0 / share).ceil() as usize;
        SharedLimits { hosts, extra: bounds.extra, slack: bounds.slack }
    }

    /// Most idle connections that this host keeps to each target of a service.
    pub(crate) fn max_idle(&self, service: &Name) -> usize {
        let known = self.with_balancer(service, |b| b.connections());
        known.unwrap_or(1)
    }

    /// Logs that a target is in trouble.
    pub(crate) fn log_target(&self, target: &Name, trouble: &str, detail: &str) {
        if let Some(suppressed) = self.target_log.admit(self.now()) {
            log::info!("event=target_{trouble} target={target} {detail} suppressed={suppressed}");
        }
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

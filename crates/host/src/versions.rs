//! Traffic shares and outcomes of back-end versions.
//!
//! The owner calls [`Versions::admits`] before it sends a sub-query to a target, and
//! [`Versions::record`] with every outcome. While no shift is watched, both only check one
//! flag; otherwise they read a table that changes only when shifts begin and end, and update
//! atomic counters.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock, PoisonError, RwLock};
use std::time::Duration;

use sapphirerack_catalogue::{Name, PER_MILLE};
use sapphirerack_policy::evidence::{BUCKETS, Outcomes, bucket};

/// Routes that are judged separately; the last one collects all further routes.
pub(crate) const ROUTE_LIMIT: usize = 16;

const OTHER_ROUTES: &str = "*";

/// Outcome of a request to a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestOutcome {
    /// Whether the target gave a usable answer.
    pub ok: bool,
    /// Time from dispatch to the end; `None` if the target is still warming up.
    pub time: Option<Duration>,
}

/// Counters of the outcomes of one version on one route since the last read.
struct OutcomeCounters {
    failures: AtomicU64,
    /// Usable answers of targets that are still warming up.
    untimed: AtomicU64,
    latency: [AtomicU64; BUCKETS],
}

impl Default for OutcomeCounters {
    fn default() -> Self {
        let [failures, untimed] = [const { AtomicU64::new(0) }; 2];
        Self { failures, untimed, latency: [const { AtomicU64::new(0) }; BUCKETS] }
    }
}

impl OutcomeCounters {
    fn record(&self, outcome: RequestOutcome) {
        let counter = match outcome.time {
            _ if !outcome.ok => &self.failures,
            Some(time) => &self.latency[bucket(time)],
            None => &self.untimed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn take(&self) -> Outcomes {
        let failures = self.failures.swap(0, Ordering::Relaxed);
        let trials = failures + self.untimed.swap(0, Ordering::Relaxed);
        let mut outcomes = Outcomes { trials, failures, ..Outcomes::default() };
        for (count, counter) in outcomes.latency.iter_mut().zip(&self.latency) {
            *count = counter.swap(0, Ordering::Relaxed);
            outcomes.trials += *count;
        }
        outcomes
    }
}

#[derive(Default)]
struct Route {
    name: OnceLock<Name>,
    old: OutcomeCounters,
    new: OutcomeCounters,
}

/// Outcomes of the old and the new version on a route.
pub(crate) struct RouteOutcomes {
    pub route: Name,
    pub old: Outcomes,
    pub new: Outcomes,
}

/// An open or recently reversed shift: its share and the outcomes on this host.
pub(crate) struct Watch {
    /// Id of the move.
    pub id: Name,
    service: Name,
    from: Name,
    to: Name,
    share: AtomicU32,
    routes: [Route; ROUTE_LIMIT],
}

impl Watch {
    /// Watch of a shift with a share of 0.
    pub(crate) fn new(id: Name, service: Name, from: Name, to: Name) -> Self {
        Self { id, service, from, to, share: AtomicU32::new(0), routes: Default::default() }
    }

    /// Sets the new version's share, in per mille.
    pub(crate) fn set_share(&self, share: u32) {
        if self.share.swap(share, Ordering::AcqRel) != share {
            log::info!("step=share move={} per_mille={share}", self.id);
        }
    }

    /// Outcomes since the last call, by route; resets the counters.
    pub(crate) fn take(&self) -> Vec<RouteOutcomes> {
        let used = self.routes.iter().filter_map(|r| Some((r.name.get()?, r)));
        used.map(|(name, r)| RouteOutcomes {
            route: name.clone(),
            old: r.old.take(),
            new: r.new.take(),
        })
        .collect()
    }

    fn route(&self, name: &str) -> &Route {
        let (last, rest) = match self.routes.split_last() {
            Some(split) => split,
            None => unreachable!("ROUTE_LIMIT is above 0"),
        };
        for route in rest {
            if **route.name.get_or_init(|| name.into()) == *name {
                return route;
            }
        }
        last.name.get_or_init(|| OTHER_ROUTES.into());
        last
    }
}

/// Traffic shares and outcomes of back-end versions.
#[derive(Default)]
pub(crate) struct Versions {
    is_watching: AtomicBool,
    watches: RwLock<Arc<[Arc<Watch>]>>,
}

impl Versions {
    /// Whether a request may go to a target of the version; `draw` is uniform in 0..1.
    ///
    /// The same draw admits the new version or the old one, never both.
    pub(crate) fn admits(&self, service: &str, _route: &str, version: &str, draw: f64) -> bool {
        let admits = |watch: &Watch| {
            let share = f64::from(watch.share.load(Ordering::Acquire)) / f64::from(PER_MILLE);
            if *watch.to == *version {
                draw < share
            } else {
                *watch.from != *version || draw >= share
            }
        };
        self.with_watch(service, admits).unwrap_or(true)
    }

    /// Records the outcome of a request to a target.
    pub(crate) fn record(
        &self,
        service: &str,
        route: &str,
        version: &str,
        outcome: RequestOutcome,
    ) {
        self.with_watch(service, |watch| {
            if *watch.to == *version {
                watch.route(route).new.record(outcome);
            } else if *watch.from == *version {
                watch.route(route).old.record(outcome);
            }
        });
    }

    /// Stops all traffic to a move's new version at once.
    pub(crate) fn stop_new(&self, id: &str) {
        for watch in self.watches().iter().filter(|w| *w.id == *id) {
            watch.set_share(0);
        }
    }

    /// Watched shifts.
    pub(crate) fn watches(&self) -> Arc<[Arc<Watch>]> {
        self.watches.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the watched shifts.
    pub(crate) fn set_watches(&self, watches: Vec<Arc<Watch>>) {
        self.is_watching.store(!watches.is_empty(), Ordering::Release);
        *self.watches.write().unwrap_or_else(PoisonError::into_inner) = watches.into();
    }

    fn with_watch<T>(&self, service: &str, f: impl FnOnce(&Watch) -> T) -> Option<T> {
        if !self.is_watching.load(Ordering::Acquire) {
            return None;
        }
        let watches = self.watches.read().unwrap_or_else(PoisonError::into_inner);
        watches.iter().find(|w| *w.service == *service).map(|w| f(w))
    }
}

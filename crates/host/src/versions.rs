//! Which share of the traffic each back-end version gets, and how each fares.
//!
//! The owner asks [`Versions::admits`] before it sends a sub-query to a target, and reports every
//! outcome with [`Versions::record`]. Both cost a look at one flag as long as no shift is open;
//! otherwise they read a table that changes only when shifts begin and end, and count with
//! atomics.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock, PoisonError, RwLock};
use std::time::Duration;

use sapphirerack_catalogue::{Name, PER_MILLE};
use sapphirerack_policy::evidence::{BUCKETS, Outcomes, bucket};

/// Routes that are judged on their own; the last stands for all further ones.
pub(crate) const ROUTES: usize = 16;

const OTHERS: &str = "*";

/// How a request to a target ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    /// Whether the target gave a usable answer.
    pub ok: bool,
    /// Time from dispatch to the end; `None` if the target has yet to become warm.
    pub time: Option<Duration>,
}

/// Outcomes of one version on one route since they were last taken.
struct Arm {
    failures: AtomicU64,
    /// Usable answers of targets that have yet to become warm.
    untimed: AtomicU64,
    latency: [AtomicU64; BUCKETS],
}

impl Default for Arm {
    fn default() -> Self {
        let [failures, untimed] = [const { AtomicU64::new(0) }; 2];
        Self { failures, untimed, latency: [const { AtomicU64::new(0) }; BUCKETS] }
    }
}

impl Arm {
    fn record(&self, outcome: Outcome) {
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
        for (taken, counter) in outcomes.latency.iter_mut().zip(&self.latency) {
            *taken = counter.swap(0, Ordering::Relaxed);
            outcomes.trials += *taken;
        }
        outcomes
    }
}

#[derive(Default)]
struct Route {
    name: OnceLock<Name>,
    old: Arm,
    new: Arm,
}

/// Outcomes of both versions on a route.
pub(crate) struct Taken {
    pub route: Name,
    pub old: Outcomes,
    pub new: Outcomes,
}

/// A shift that is watched on this host.
pub(crate) struct Watch {
    /// Id of the move.
    pub id: Name,
    service: Name,
    from: Name,
    to: Name,
    share: AtomicU32,
    routes: [Route; ROUTES],
}

impl Watch {
    /// Watch of a shift that gets no traffic yet.
    pub(crate) fn new(id: Name, service: Name, from: Name, to: Name) -> Self {
        Self { id, service, from, to, share: AtomicU32::new(0), routes: Default::default() }
    }

    /// Sets the new version's share, in per mille.
    pub(crate) fn set_share(&self, share: u32) {
        if self.share.swap(share, Ordering::AcqRel) != share {
            log::info!("step=share move={} per_mille={share}", self.id);
        }
    }

    /// Takes what was recorded since the last time, by route.
    pub(crate) fn take(&self) -> Vec<Taken> {
        let used = self.routes.iter().filter_map(|r| Some((r.name.get()?, r)));
        used.map(|(name, r)| Taken { route: name.clone(), old: r.old.take(), new: r.new.take() })
            .collect()
    }

    fn route(&self, name: &str) -> &Route {
        let (last, rest) = match self.routes.split_last() {
            Some(split) => split,
            None => unreachable!("there are always routes"),
        };
        for route in rest {
            if **route.name.get_or_init(|| name.into()) == *name {
                return route;
            }
        }
        last.name.get_or_init(|| OTHERS.into());
        last
    }
}

/// Traffic shares and evidence of back-end versions.
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
        self.with(service, admits).unwrap_or(true)
    }

    /// Takes note of how a request to a target ended.
    pub(crate) fn record(&self, service: &str, route: &str, version: &str, outcome: Outcome) {
        self.with(service, |watch| {
            if *watch.to == *version {
                watch.route(route).new.record(outcome);
            } else if *watch.from == *version {
                watch.route(route).old.record(outcome);
            }
        });
    }

    /// Takes all traffic from a move's new version at once.
    pub(crate) fn drop_new(&self, id: &str) {
        for watch in self.watches().iter().filter(|w| *w.id == *id) {
            watch.set_share(0);
        }
    }

    /// Shifts that are watched.
    pub(crate) fn watches(&self) -> Arc<[Arc<Watch>]> {
        self.watches.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the shifts that are watched.
    pub(crate) fn set_watches(&self, watches: Vec<Arc<Watch>>) {
        self.is_watching.store(!watches.is_empty(), Ordering::Release);
        *self.watches.write().unwrap_or_else(PoisonError::into_inner) = watches.into();
    }

    fn with<T>(&self, service: &str, f: impl FnOnce(&Watch) -> T) -> Option<T> {
        if !self.is_watching.load(Ordering::Acquire) {
            return None;
        }
        let watches = self.watches.read().unwrap_or_else(PoisonError::into_inner);
        watches.iter().find(|w| *w.service == *service).map(|w| f(w))
    }
}

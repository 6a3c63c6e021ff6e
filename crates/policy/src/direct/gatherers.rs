//! Which hosts gather the queries over several shards.
//!
//! A target accepts a limited number of connections. While every host may keep a few of them, each
//! host gathers its callers' queries itself. With more hosts, most sub-queries would open a
//! connection, and a host would see too few answers of a target to notice that it is slow. The
//! queries are then passed to a few hosts, the gatherers: in each data centre with targets, those
//! with the largest machines. All hosts designate the same ones, from the membership alone.

use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Name, Set};

use crate::{Host, rank};

/// Share of a target's connections that all hosts together use.
pub const CONNECTIONS_USED: f64 = 0.85;

/// Connections to each target that a host needs to gather all queries of its callers itself.
const MIN_OWN_CONNECTIONS: f64 = 2.0;

/// Connections to each target that a gatherer gets at least.
const CONNECTIONS_PER_GATHERER: f64 = 4.0;

/// Part of the limits that hosts share which is divided among the gatherers.
const GATHERER_SHARE: f64 = 0.6;

/// Part of the shared limits that is divided among all hosts, for queries that no gatherer takes.
const COMMON_SHARE: f64 = 0.25;

/// Least capacity of a gatherer, relative to the largest machine. A data centre without such a
/// machine is served by the others.
const MIN_CAPACITY: f64 = 0.5;

/// Least number of gatherers in a data centre that has so many hosts of that capacity.
const MIN_GATHERERS: usize = 2;

/// Time for which a gatherer is avoided after it failed; doubles with each further failure.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// Most doublings of `FAILURE_BACKOFF`.
const MAX_DOUBLINGS: u32 = 3;

/// Key of the rendezvous ranking of hosts with the same capacity.
const RANKING_KEY: &[u8] = b"gatherers";

/// Hosts that gather the queries of all hosts; empty if each host gathers its own.
///
/// `hosts` are the live hosts, `fleet` is the highest number of them so far, `centres` are the data
/// centres that have targets, and `connections` is the limit of each target.
pub fn designate(hosts: &[Host], fleet: usize, centres: &Set<Name>, connections: u32) -> Vec<Host> {
    let usable = f64::from(connections) * CONNECTIONS_USED;
    if centres.is_empty() || usable / fleet.max(1) as f64 >= MIN_OWN_CONNECTIONS {
        return Vec::new();
    }
    let total = usable * GATHERER_SHARE / CONNECTIONS_PER_GATHERER;
    let each = (total / centres.len() as f64) as usize;
    let mut centres: Vec<&Name> = centres.iter().collect();
    centres.sort();
    let largest = hosts.iter().map(|h| h.capacity).max().unwrap_or_default();
    let least = (f64::from(largest) * MIN_CAPACITY) as u32;
    let eligible = |centre: &Name| -> Vec<Host> {
        let local = hosts.iter().filter(|h| h.data_centre == *centre);
        local.filter(|h| h.capacity >= least).cloned().collect()
    };
    centres.into_iter().flat_map(|c| first(&eligible(c), each.max(MIN_GATHERERS))).collect()
}

/// The hosts with the largest machines, `count` at most.
fn first(hosts: &[Host], count: usize) -> Vec<Host> {
    let mut ranked = rank(RANKING_KEY, hosts, |h| h.name.as_bytes());
    ranked.sort_by_key(|h| std::cmp::Reverse(h.capacity));
    ranked.truncate(count);
    ranked
}

/// Share of the limits on the targets of shards that one host may use.
pub fn limit_share(is_gatherer: bool, gatherers: usize, fleet: usize) -> f64 {
    let common = 1.0 / fleet.max(1) as f64;
    if gatherers == 0 {
        return common;
    }
    let own = if is_gatherer { GATHERER_SHARE / gatherers as f64 } else { 0.0 };
    own + COMMON_SHARE * common
}

/// Targets of each shard to which a query may still be sent, of the `attempts` that its route
/// allows, after `started` hosts may have sent it to one each. A host that was too slow to accept a
/// query is told to cancel it before it sends a hedge.
pub fn targets_left(attempts: u32, started: u32) -> u32 {
    attempts.saturating_sub(started)
}

/// A gatherer as one host sees it.
#[derive(Clone, Debug)]
struct Gatherer {
    host: Host,
    /// Queries of this host that it has not replied to.
    outstanding: usize,
    /// Consecutive failures, and when the last one was.
    failures: u32,
    failed: Option<Instant>,
}

impl Gatherer {
    fn is_avoided(&self, now: Instant) -> bool {
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let backoff = FAILURE_BACKOFF * 2_u32.pow(doublings);
        self.failed.is_some_and(|at| now < at + backoff)
    }
}

/// The gatherers, with what this host knows of them.
#[derive(Debug)]
pub struct Gatherers {
    home: Name,
    own: Name,
    known: Vec<Gatherer>,
    rng: fastrand::Rng,
}

impl Gatherers {
    /// No gatherers yet, for the host `own` in the data centre `home`.
    pub fn new(own: Name, home: Name, rng: fastrand::Rng) -> Self {
        Self { home, own, known: Vec::new(), rng }
    }

    /// Sets the designated hosts.
    pub fn set(&mut self, hosts: Vec<Host>) {
        let mut known = std::mem::take(&mut self.known);
        let keep = |host: Host| match known.iter().position(|g| g.host == host) {
            Some(at) => known.swap_remove(at),
            None => Gatherer { host, outstanding: 0, failures: 0, failed: None },
        };
        self.known = hosts.into_iter().map(keep).collect();
    }

    /// Number of gatherers.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Data centres of the gatherers.
    pub fn centres(&self) -> impl Iterator<Item = &Name> {
        self.known.iter().map(|g| &g.host.data_centre)
    }

    /// Whether this host gathers queries itself: those of other hosts, or its own because there
    /// are no gatherers.
    pub fn includes_own(&self) -> bool {
        self.known.is_empty() || self.known.iter().any(|g| g.host.name == self.own)
    }

    /// Chooses a gatherer that is not in `tried`, and has not failed lately if there is such a
    /// one: one of this host's data centre, or else one of a data centre where none has failed; of
    /// two random ones, the one with fewer outstanding queries. `is_suspect` tells which hosts are
    /// suspected to be down.
    pub fn choose(
        &mut self,
        tried: &[Name],
        is_suspect: impl Fn(&Name) -> bool,
        now: Instant,
    ) -> Option<Host> {
        let untried = |g: &&Gatherer| !tried.contains(&g.host.name);
        let sound = |g: &&Gatherer| !g.is_avoided(now) && !is_suspect(&g.host.name);
        let untried: Vec<&Gatherer> = self.known.iter().filter(untried).collect();
        let sound: Vec<&Gatherer> = untried.iter().copied().filter(sound).collect();
        let local = |g: &&Gatherer| g.host.data_centre == self.home;
        let local: Vec<&Gatherer> = sound.iter().copied().filter(local).collect();
        // A failed gatherer may mean that its whole data centre is out of reach.
        let failed = self.known.iter().filter(|g| g.is_avoided(now));
        let failed: Set<&Name> = failed.map(|g| &g.host.data_centre).collect();
        let clear = |g: &&Gatherer| !failed.contains(&g.host.data_centre);
        let clear: Vec<&Gatherer> = sound.iter().copied().filter(clear).collect();
        let choices = [local, clear, sound, untried].into_iter().find(|c| !c.is_empty())?;
        less_loaded(&choices, &mut self.rng).map(|g| g.host.clone())
    }

    /// Chooses a gatherer of a data centre that has not failed lately; of two random ones, the one
    /// with fewer outstanding queries. `is_sound` tells which hosts are not suspected to be down.
    pub fn choose_in(
        &mut self,
        data_centre: &str,
        is_sound: impl Fn(&Name) -> bool,
        now: Instant,
    ) -> Option<Host> {
        let sound = |g: &&Gatherer| !g.is_avoided(now) && is_sound(&g.host.name);
        let local = self.known.iter().filter(|g| *g.host.data_centre == *data_centre);
        let choices: Vec<&Gatherer> = local.filter(sound).collect();
        less_loaded(&choices, &mut self.rng).map(|g| g.host.clone())
    }

    /// Records a query that was passed to a gatherer.
    pub fn start(&mut self, name: &str) {
        if let Some(gatherer) = self.find(name) {
            gatherer.outstanding += 1;
        }
    }

    /// Records the end of a query at a gatherer, and whether the gatherer replied; `None` if the
    /// query was cancelled.
    pub fn end(&mut self, name: &str, replied: Option<bool>, now: Instant) {
        let Some(gatherer) = self.find(name) else { return };
        gatherer.outstanding = gatherer.outstanding.saturating_sub(1);
        match replied {
            Some(true) => (gatherer.failures, gatherer.failed) = (0, None),
            Some(false) => gatherer.fail(now),
            None => {}
        }
    }

    /// Records that a gatherer has not accepted a query, or not replied, in time.
    pub fn record_failure(&mut self, name: &str, now: Instant) {
        if let Some(gatherer) = self.find(name) {
            gatherer.fail(now);
        }
    }

    fn find(&mut self, name: &str) -> Option<&mut Gatherer> {
        self.known.iter_mut().find(|g| *g.host.name == *name)
    }
}

/// Of two random gatherers, the one with fewer outstanding queries.
fn less_loaded<'a>(choices: &[&'a Gatherer], rng: &mut fastrand::Rng) -> Option<&'a Gatherer> {
    let (first, second) = (rng.choice(choices)?, rng.choice(choices)?);
    Some(if second.outstanding < first.outstanding { second } else { first })
}

impl Gatherer {
    fn fail(&mut self, now: Instant) {
        if !self.is_avoided(now) {
            self.failures = self.failures.saturating_add(1);
        }
        self.failed = Some(now);
    }
}

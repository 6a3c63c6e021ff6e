//! Judges the new versions of open shifts by the evidence of this host and of the others.

use std::sync::{Mutex, MutexGuard, PoisonError};

use sapphirerack_catalogue::{Map, Move, Name, Set};
use sapphirerack_policy::evidence::{Comparison, Evidence, Outcomes, Pool, fault};
use sapphirerack_policy::verdict::{TESTS, suspicion_threshold};
use sapphirerack_policy::{Host, Verdict};
use serde::Serialize;

use crate::move_gossip::{KnownVersions, MoveEvidence};
use crate::versions::{ROUTE_LIMIT, RouteOutcomes};

/// Sources over which the false-alarm probability is split: local evidence, and that of all hosts.
const SOURCES: usize = 2;

/// This host's evidence on one shift.
struct LocalEvidence {
    /// Over all routes.
    pooled: Comparison,
    routes: Map<Name, Comparison>,
    blocks: u64,
}

impl LocalEvidence {
    fn new(blocks: u64) -> Self {
        Self { pooled: Comparison::new(blocks), routes: Map::default(), blocks }
    }

    fn observe(&mut self, outcomes: &[RouteOutcomes], is_warm: bool) {
        let (mut old, mut new) = (Outcomes::default(), Outcomes::default());
        for part in outcomes {
            old.add(&part.old);
            new.add(&part.new);
            let blocks = self.blocks;
            let route = self.routes.entry(part.route.clone());
            let route = route.or_insert_with(|| Comparison::new(blocks));
            route.observe(&part.old, &part.new, is_warm);
        }
        self.pooled.observe(&old, &new, is_warm);
    }

    fn verdict(&self, hosts: usize) -> Option<Verdict> {
        let shares = SOURCES * hosts.max(1) * (ROUTE_LIMIT + 1);
        if let Some(fault) = self.pooled.fault(shares) {
            return Some(Verdict { fault, route: None });
        }
        let found = self.routes.iter().find_map(|(r, c)| Some((r, c.fault(shares)?)));
        found.map(|(route, fault)| Verdict { fault, route: Some(route.clone()) })
    }
}

/// Evidence on a shift, for operators.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Summary {
    /// Hosts that have reported evidence.
    pub hosts: usize,
    /// Requests to the new version.
    pub trials: u64,
    /// Usable answers among them.
    pub successes: u64,
    /// Logarithms of the e-values: failures, median and tail of the latency.
    pub log_evidence: [f64; TESTS],
}

impl Summary {
    /// Whether the evidence suggests a fault of the new version.
    pub(crate) fn is_suspicious(&self) -> bool {
        self.log_evidence.iter().any(|e| *e >= suspicion_threshold())
    }
}

#[derive(Default)]
struct State {
    local: Map<Name, LocalEvidence>,
    pools: Map<Name, Pool>,
    versions: KnownVersions,
}

/// Judges the new versions of open shifts.
pub(crate) struct Judge {
    own: Host,
    state: Mutex<State>,
}

impl Judge {
    pub(crate) fn new(own: Host) -> Self {
        Self { own, state: Mutex::default() }
    }

    /// Adds the latest outcomes on this host, at the Unix time `at` in milliseconds, and judges them
    /// together with the evidence of others; `hosts` is the number of live hosts.
    pub(crate) fn observe(
        &self,
        record: &Move,
        outcomes: &[RouteOutcomes],
        blocks: u64,
        hosts: usize,
        at: u64,
        is_warm: bool,
    ) -> Option<Verdict> {
        let mut state = self.lock();
        let local =
            state.local.entry(record.id.clone()).or_insert_with(|| LocalEvidence::new(blocks));
        local.observe(outcomes, is_warm);
        let verdict = local.verdict(hosts);
        let (trials, successes) = local.pooled.new_counts();
        let evidence = Evidence {
            host: self.own.name.clone(),
            data_centre: self.own.data_centre.clone(),
            at,
            trials,
            successes,
            products: local.pooled.products(),
        };
        let pool = state.pools.entry(record.id.clone()).or_default();
        pool.merge(evidence);
        pool.trim(&record.id);
        let merged = || fault(&pool.products(), SOURCES).map(|f| Verdict { fault: f, route: None });
        verdict.or_else(merged)
    }

    /// Merges another host's evidence; ignored if the move is not open here.
    pub(crate) fn merge(&self, item: MoveEvidence) {
        if let Some(pool) = self.lock().pools.get_mut(&item.id) {
            pool.merge(item.evidence);
            pool.trim(&item.id);
        }
    }

    /// Merges the version in force on a host.
    pub(crate) fn merge_version(&self, host: u64, version: u64) {
        self.lock().versions.merge(host, version);
    }

    /// Removes all but the open shifts and the given hosts.
    pub(crate) fn retain(&self, open: &Set<Name>, hosts: &Set<u64>) {
        let mut state = self.lock();
        state.local.retain(|id, _| open.contains(id));
        state.pools.retain(|id, _| open.contains(id));
        state.versions.retain(hosts);
    }

    /// Whether the version, or a higher one, is in force on all the given hosts.
    pub(crate) fn is_in_force(&self, hosts: &Set<u64>, version: u64) -> bool {
        let state = self.lock();
        hosts.iter().all(|h| state.versions.version(*h) >= version)
    }

    /// Evidence on a move.
    pub(crate) fn summary(&self, id: &str) -> Summary {
        let state = self.lock();
        let Some(pool) = state.pools.get(id) else {
            return Summary::default();
        };
        let (trials, successes) = pool.new_counts();
        let log_evidence = pool.products().map(|p| p.log_value());
        Summary { hosts: pool.iter().count(), trials, successes, log_evidence }
    }

    /// Whether there is evidence from every data centre at or after `since`, in Unix milliseconds.
    pub(crate) fn is_fresh<'a>(
        &self,
        id: &str,
        mut centres: impl Iterator<Item = &'a Name>,
        since: u64,
    ) -> bool {
        let state = self.lock();
        state.pools.get(id).is_some_and(|pool| centres.all(|c| pool.is_fresh(c, since)))
    }

    /// Versions in force and evidence to gossip: this host's evidence first, then that of others,
    /// each in random order.
    pub(crate) fn gossip_entries(&self) -> (Vec<(u64, u64)>, Vec<MoveEvidence>) {
        let state = self.lock();
        let (mut items, mut others) = (Vec::new(), Vec::new());
        for (id, pool) in &state.pools {
            for evidence in pool.iter() {
                let list = if evidence.host == self.own.name { &mut items } else { &mut others };
                list.push(MoveEvidence { id: id.clone(), evidence: evidence.clone() });
            }
        }
        fastrand::shuffle(&mut items);
        fastrand::shuffle(&mut others);
        items.extend(others);
        (state.versions.sample(), items)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

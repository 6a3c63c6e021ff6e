//! The other hosts, as far as they matter for requests: which of them gather queries, and by how
//! many the limits that all hosts share are divided.

use std::cell::{Cell, RefCell};
use std::time::Instant;

use sapphirerack_catalogue::{Name, Set};
use sapphirerack_policy::direct::{Gatherers, designate, limit_share};
use sapphirerack_policy::{Host as HostName, Membership};
use sapphirerack_protocol::Liveness;
use sapphirerack_routes::View;

use crate::log_limit::LogLimit;

/// Least number of hosts by which shared limits are divided, so that a host that has not discovered
/// the others yet does not use them up.
const MIN_HOSTS: usize = 3;

/// The hosts of the fleet, as this one sees them.
pub(crate) struct Fleet {
    pub members: RefCell<Membership>,
    home: Name,
    gatherers: RefCell<Gatherers>,
    live: RefCell<Set<Name>>,
    cut_off: RefCell<Set<Name>>,
    /// Epoch of the membership at the last update.
    epoch: Cell<u64>,
    /// Highest number of hosts that were live at the same time.
    peak: Cell<usize>,
    /// Limits log lines on hosts that were lost or found.
    log: LogLimit,
}

impl Fleet {
    /// The fleet as the host `own` in the data centre `home` sees it.
    pub(crate) fn new(members: Membership, own: Name, home: Name) -> Self {
        let gatherers = Gatherers::new(own, home.clone(), fastrand::Rng::new());
        Self {
            members: RefCell::new(members),
            home,
            gatherers: RefCell::new(gatherers),
            live: RefCell::default(),
            cut_off: RefCell::default(),
            epoch: Cell::new(0),
            peak: Cell::new(MIN_HOSTS),
            log: LogLimit::default(),
        }
    }

    /// Applies changes of the membership; true if there were any.
    pub(crate) fn update(&self, now: Instant) -> bool {
        let members = self.members.borrow();
        if members.epoch() == self.epoch.replace(members.epoch()) {
            return false;
        }
        let live: Set<Name> = members.live().into_iter().map(|h| h.name).collect();
        let cut_off = members.cut_off().clone();
        self.peak.set(self.peak.get().max(live.len()));
        self.log_changes("host", &self.live.replace(live.clone()), &live, now);
        // The data centres in reach are not listed, so that lost and found change places.
        self.log_changes("data_centre", &cut_off, &self.cut_off.replace(cut_off.clone()), now);
        true
    }

    fn log_changes(&self, kind: &str, before: &Set<Name>, after: &Set<Name>, now: Instant) {
        let lost = before.difference(after).map(|name| ("lost", name));
        let found = after.difference(before).map(|name| ("found", name));
        for (change, name) in lost.chain(found) {
            if let Some(suppressed) = self.log.admit(now) {
                log::info!("event={kind}_{change} {kind}={name} suppressed={suppressed}");
            }
        }
    }

    /// Designates the hosts that gather the queries over these shards.
    pub(crate) fn designate(&self, view: &View, shards: &Set<Name>) {
        let services = &view.table().configuration().services;
        let limits = shards.iter().filter_map(|s| services.get(s)).map(|s| s.connections);
        let hosts = limits.min().map_or_else(Vec::new, |connections| {
            let targets = view.usable().filter(|t| shards.contains(&t.service));
            let centres: Set<Name> = targets.map(|t| t.data_centre.clone()).collect();
            designate(&self.members.borrow().live(), self.peak.get(), &centres, connections)
        });
        self.gatherers.borrow_mut().set(hosts);
    }

    /// Share of the limits on the targets of a service that this host may use.
    pub(crate) fn limit_share(&self, is_shard: bool) -> f64 {
        let gatherers = self.gatherers.borrow();
        let count = if is_shard { gatherers.count() } else { 0 };
        limit_share(gatherers.includes_own(), count, self.peak.get())
    }

    /// Whether this host gathers the queries of its callers itself.
    pub(crate) fn gathers_own_queries(&self) -> bool {
        self.gatherers.borrow().includes_own()
    }

    /// Other data centres with gatherers.
    pub(crate) fn partner_centres(&self) -> Set<Name> {
        let gatherers = self.gatherers.borrow();
        gatherers.centres().filter(|c| **c != self.home).cloned().collect()
    }

    /// Chooses a gatherer that is not in `tried` for a query.
    pub(crate) fn choose_gatherer(&self, tried: &[Name], now: Instant) -> Option<HostName> {
        let members = self.members.borrow();
        let is_suspect = |name: &Name| members.liveness(name) != Some(Liveness::Alive);
        self.gatherers.borrow_mut().choose(tried, is_suspect, now)
    }

    /// Chooses a gatherer of another data centre for some parts of a query.
    pub(crate) fn choose_partner(&self, data_centre: &str, now: Instant) -> Option<HostName> {
        let members = self.members.borrow();
        let is_sound = |name: &Name| members.liveness(name) == Some(Liveness::Alive);
        self.gatherers.borrow_mut().choose_in(data_centre, is_sound, now)
    }

    /// Runs `f` on the gatherers.
    pub(crate) fn with_gatherers<T>(&self, f: impl FnOnce(&mut Gatherers) -> T) -> T {
        f(&mut self.gatherers.borrow_mut())
    }
}

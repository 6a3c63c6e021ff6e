//! Relays between the data centres of a fleet.
//!
//! Each data centre sees the hosts of the others at relays, by way of its own host list, and the
//! store at a door of its own.

use sapphirerack_catalogue::{Map, Name};
use sapphirerack_platform::HostEntry;

use crate::fleet::LOOPBACK;
use crate::relay::{Relay, RelayFault};
use crate::store::{Door, StoreServer};

/// Relays and doors of a fleet.
#[derive(Default)]
pub(crate) struct Network {
    doors: Map<Name, Door>,
    relays: Map<(Name, Name), Relay>,
}

impl Network {
    pub(crate) fn new(store: &StoreServer, centres: impl Iterator<Item = Name>) -> Self {
        let doors = centres.enumerate().map(|(i, c)| (c, store.door(LOOPBACK, i as u64)));
        Self { doors: doors.collect(), relays: Map::default() }
    }

    /// Door of a data centre.
    pub(crate) fn door(&self, data_centre: &str) -> Option<&Door> {
        self.doors.get(data_centre)
    }

    /// Gives each data centre its view of the hosts.
    pub(crate) fn set_hosts(&mut self, hosts: &[HostEntry]) {
        let centres: Vec<Name> = self.doors.keys().cloned().collect();
        for centre in centres {
            let seen: Vec<_> = hosts.iter().map(|host| self.seen(&centre, host)).collect();
            self.doors[&centre].set_hosts(seen);
        }
    }

    /// Changes what happens to traffic between two data centres, both ways.
    pub(crate) fn set(&self, hosts: &[HostEntry], one: &str, other: &str, fault: RelayFault) {
        for ((from, to), relay) in &self.relays {
            let Some(host) = hosts.iter().find(|h| h.name == *to) else { continue };
            let pair = (&**from, &*host.data_centre);
            if pair == (one, other) || pair == (other, one) {
                relay.set(fault);
            }
        }
    }

    /// Bytes of TCP that have passed from the one who connected, and back.
    pub(crate) fn passed(&self) -> (u64, u64) {
        let all = self.relays.values().map(Relay::passed);
        all.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }

    fn seen(&mut self, from: &Name, host: &HostEntry) -> HostEntry {
        if host.data_centre == *from {
            return host.clone();
        }
        let key = (from.clone(), host.name.clone());
        let relay = self.relays.entry(key).or_insert_with(|| Relay::start(host.address));
        HostEntry { address: relay.address(), ..host.clone() }
    }
}

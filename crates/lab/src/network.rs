//! Ways from the data centres of a fleet to the store.
//!
//! Each data centre has a door of its own to the store, behind a relay that can cut it off: calls
//! then wait without an answer, as when packets are lost. Traffic between hosts can't be cut here:
//! hosts tell each other their own addresses, so that it would pass a relay by.

use sapphirerack_catalogue::{Map, Name};
use sapphirerack_clients::HostEntry;

use crate::fleet::LOOPBACK;
use crate::relay::Relay;
use crate::store::{Door, StoreServer};

/// Doors of a fleet with the relays before them.
#[derive(Default)]
pub(crate) struct Network {
    doors: Map<Name, (Door, Relay)>,
}

impl Network {
    pub(crate) fn new(store: &StoreServer, centres: impl Iterator<Item = Name>) -> Self {
        let doors = centres.enumerate().map(|(i, centre)| {
            let door = store.door(LOOPBACK, i as u64);
            let relay = Relay::start(door.address());
            (centre, (door, relay))
        });
        Self { doors: doors.collect() }
    }

    /// Door of a data centre.
    pub(crate) fn door(&self, data_centre: &str) -> Option<&Door> {
        self.doors.get(data_centre).map(|(door, _)| door)
    }

    /// Relay before the door of a data centre.
    pub(crate) fn relay(&self, data_centre: &str) -> Option<&Relay> {
        self.doors.get(data_centre).map(|(_, relay)| relay)
    }

    /// Gives the hosts to each door.
    pub(crate) fn set_hosts(&self, hosts: &[HostEntry]) {
        self.doors.values().for_each(|(door, _)| door.set_hosts(hosts.to_vec()));
    }
}

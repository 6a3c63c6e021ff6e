//! Network paths from the data centres of a fleet to the store.
//!
//! Each data centre has its own store endpoint, behind a relay that can cut it off: calls then
//! hang without a response, as under packet loss. Traffic between hosts can't be cut here: hosts
//! advertise their own addresses to each other, so their traffic would bypass a relay.

use sapphirerack_catalogue::{Map, Name};
use sapphirerack_clients::HostEntry;

use crate::fleet::LOOPBACK;
use crate::relay::Relay;
use crate::store::{Endpoint, StoreServer};

/// Store endpoints of a fleet, each behind a relay.
#[derive(Default)]
pub(crate) struct Network {
    endpoints: Map<Name, (Endpoint, Relay)>,
}

impl Network {
    pub(crate) fn new(store: &StoreServer, centres: impl Iterator<Item = Name>) -> Self {
        let endpoints = centres.enumerate().map(|(i, centre)| {
            let endpoint = store.endpoint(LOOPBACK, i as u64);
            let relay = Relay::start(endpoint.address());
            (centre, (endpoint, relay))
        });
        Self { endpoints: endpoints.collect() }
    }

    /// Store endpoint of a data centre.
    pub(crate) fn endpoint(&self, data_centre: &str) -> Option<&Endpoint> {
        self.endpoints.get(data_centre).map(|(endpoint, _)| endpoint)
    }

    /// Relay in front of a data centre's store endpoint.
    pub(crate) fn relay(&self, data_centre: &str) -> Option<&Relay> {
        self.endpoints.get(data_centre).map(|(_, relay)| relay)
    }

    /// Sets the host list of every endpoint.
    pub(crate) fn set_hosts(&self, hosts: &[HostEntry]) {
        self.endpoints.values().for_each(|(endpoint, _)| endpoint.set_hosts(hosts.to_vec()));
    }
}

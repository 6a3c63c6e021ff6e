//! Ways from the data centres of a fleet to the store.
//!
//! Each data centre has an endpoint of its own to the store, behind a relay that can cut it off: calls
//! then wait without an answer, as when packets are lost. Traffic between hosts can't be cut here:
//! hosts tell each other their own addresses, so that it would pass a relay by.

use sapphirerack_catalogue::{Map, Name};
use sapphirerack_clients::HostEntry;

use crate::fleet::LOOPBACK;
use crate::relay::Relay;
use crate::store::{Endpoint, StoreServer};

/// Doors of a fleet with the relays before them.
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

    /// Endpoint of a data centre.
    pub(crate) fn endpoint(&self, data_centre: &str) -> Option<&Endpoint> {
        self.endpoints.get(data_centre).map(|(endpoint, _)| endpoint)
    }

    /// Relay before the endpoint of a data centre.
    pub(crate) fn relay(&self, data_centre: &str) -> Option<&Relay> {
        self.endpoints.get(data_centre).map(|(_, relay)| relay)
    }

    /// Gives the hosts to each endpoint.
    pub(crate) fn set_hosts(&self, hosts: &[HostEntry]) {
        self.endpoints.values().for_each(|(endpoint, _)| endpoint.set_hosts(hosts.to_vec()));
    }
}

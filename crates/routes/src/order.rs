//! Operators' orders that change where requests may go.

use sapphirerack_catalogue::{Map, Name};
use serde::{Deserialize, Serialize};

/// What operators ask for, as long as the order stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// The targets of a data centre get no new requests.
    Close {
        /// The data centre.
        data_centre: Name,
    },
    /// The traffic of a service is to move to targets of a new version. Until new versions are
    /// judged here they get no requests while others are there: a bad one must not be exposed.
    Shift {
        /// The service.
        service: Name,
        /// The new version.
        version: Name,
    },
}

/// The last change of the order that stands under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderChange {
    /// Key of the order.
    pub key: Name,
    /// Revision of the change.
    pub revision: u64,
    /// The order; `None` if it was taken back.
    pub order: Option<Order>,
}

/// All orders, also those that were taken back.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    entries: Map<Name, (u64, Option<Order>)>,
    revision: u64,
}

impl Orders {
    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes a change; true if it changes anything. It is passed on even if it does not.
    pub fn apply(&mut self, change: OrderChange) -> bool {
        let OrderChange { key, revision, order } = change;
        let (known, standing) = self.entries.entry(key).or_insert((0, None));
        if revision <= *known {
            return false;
        }
        *known = revision;
        self.revision = self.revision.max(revision);
        std::mem::replace(standing, order) != *standing
    }

    /// Orders that stand, by key.
    pub fn active(&self) -> impl Iterator<Item = (&Name, &Order)> {
        self.entries.iter().filter_map(|(key, (_, order))| Some((key, order.as_ref()?)))
    }

    /// Changes after one revision and up to another.
    pub fn between(&self, after: u64, last: u64) -> Vec<OrderChange> {
        let told = self.entries.iter().filter(|(_, (r, _))| *r > after && *r <= last);
        let change = |(key, (revision, order)): (&Name, &(u64, Option<Order>))| OrderChange {
            key: key.clone(),
            revision: *revision,
            order: order.clone(),
        };
        told.map(change).collect()
    }

    /// Whether the targets of a data centre get no new requests.
    pub fn is_closed(&self, data_centre: &str) -> bool {
        self.active()
            .any(|(_, o)| matches!(o, Order::Close { data_centre: d } if **d == *data_centre))
    }

    /// The version to which the traffic of a service is to move.
    pub fn new_version(&self, service: &str) -> Option<&Name> {
        self.active().find_map(|(_, order)| match order {
            Order::Shift { service: s, version } if **s == *service => Some(version),
            _ => None,
        })
    }
}

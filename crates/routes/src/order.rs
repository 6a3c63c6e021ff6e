//! Operators' orders, which restrict where requests may go.

use sapphirerack_catalogue::{Map, Name, Set};
use serde::{Deserialize, Serialize};

use crate::digest::digest;

/// An operator's order, in effect until it is withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Sends no new requests to the targets of a data centre.
    Close {
        /// Data centre to close.
        data_centre: Name,
    },
    /// Moves the traffic of a service to targets of a new version. As new versions are not
    /// evaluated here yet, their targets get no requests while other versions have targets, so
    /// that callers are not exposed to a faulty version.
    Shift {
        /// Service to move.
        service: Name,
        /// Version to move to.
        version: Name,
    },
}

/// The last change of the order with a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderChange {
    /// Key of the order.
    pub key: Name,
    /// Revision of the change.
    pub revision: u64,
    /// The order; `None` if it was withdrawn.
    pub order: Option<Order>,
}

/// All orders, including withdrawn ones.
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

    /// Digest of the keys of the orders in effect; equal sets have equal digests.
    pub fn digest(&self) -> u64 {
        self.active().fold(0, |sum, (key, _)| sum ^ digest(key))
    }

    /// Applies a change from another host. `synced` is the revision up to which these orders are
    /// complete: an unknown order that was given before it has been withdrawn.
    pub fn merge(&mut self, change: OrderChange, synced: u64) -> bool {
        let is_known = self.entries.contains_key(&change.key);
        let withdrawn = !is_known && change.revision <= synced;
        let order = change.order.filter(|_| !withdrawn);
        self.apply(OrderChange { order, ..change })
    }

    /// Ends the orders that are not in `present`, a complete set as of revision `last`; true if
    /// there were any.
    pub fn retain(&mut self, present: &Set<Name>, last: u64) -> bool {
        let mut changed = false;
        for (key, (revision, order)) in &mut self.entries {
            if *revision <= last && !present.contains(key) {
                changed |= order.take().is_some();
            }
        }
        changed
    }

    /// Applies a change; true if the order differs. A newer change is passed on to other hosts even
    /// if it does not.
    pub fn apply(&mut self, change: OrderChange) -> bool {
        let OrderChange { key, revision, order } = change;
        let (known, current) = self.entries.entry(key).or_insert((0, None));
        if revision <= *known {
            return false;
        }
        *known = revision;
        self.revision = self.revision.max(revision);
        std::mem::replace(current, order) != *current
    }

    /// Orders in effect, by key.
    pub fn active(&self) -> impl Iterator<Item = (&Name, &Order)> {
        self.entries.iter().filter_map(|(key, (_, order))| Some((key, order.as_ref()?)))
    }

    /// Changes after revision `after`, up to and including `last`.
    pub fn between(&self, after: u64, last: u64) -> Vec<OrderChange> {
        let changed = self.entries.iter().filter(|(_, (r, _))| *r > after && *r <= last);
        let change = |(key, (revision, order)): (&Name, &(u64, Option<Order>))| OrderChange {
            key: key.clone(),
            revision: *revision,
            order: order.clone(),
        };
        changed.map(change).collect()
    }

    /// Whether a data centre is closed to new requests.
    pub fn is_closed(&self, data_centre: &str) -> bool {
        self.active()
            .any(|(_, o)| matches!(o, Order::Close { data_centre: d } if **d == *data_centre))
    }

    /// Version to which the traffic of a service is being moved.
    pub fn new_version(&self, service: &str) -> Option<&Name> {
        self.active().find_map(|(_, order)| match order {
            Order::Shift { service: s, version } if **s == *service => Some(version),
            _ => None,
        })
    }
}

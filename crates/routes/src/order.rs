//! Operators' orders, which restrict where requests may go.
//!
//! A store that was restored from a copy may lack an order, or show one that had been withdrawn. What
//! the operator said last stays in force until the operator says it, or something else, again.

use std::collections::VecDeque;

use sapphirerack_catalogue::{Map, Name, Set};
use serde::{Deserialize, Serialize};

use crate::Revision;
use crate::digest::digest;

/// Most revisions of one key that are remembered; a copy of the store shows none of long ago.
const MAX_GIVEN: usize = 8;

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

/// How a change became known; of two changes at one revision the later variant takes precedence.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Source {
    /// A listing of the store showed it, which may have come from a copy.
    #[default]
    Listed,
    /// It is known from an earlier era, at this revision, whatever such a listing shows.
    Carried(Revision),
    /// A host saw the store change.
    Seen,
}

/// The last change of the order with a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderChange {
    /// Key of the order.
    pub key: Name,
    /// Revision of the change.
    pub revision: Revision,
    /// The order; `None` if it was withdrawn.
    pub order: Option<Order>,
    /// How it became known.
    pub source: Source,
}

/// All orders, including withdrawn ones.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    entries: Map<Name, Entry>,
    revision: Revision,
}

/// What the operator said last of one key.
#[derive(Clone, Debug, Default)]
struct Entry {
    revision: Revision,
    order: Option<Order>,
    source: Source,
    /// Numbers of the revisions at which the last orders were given, withdrawn ones included.
    given: VecDeque<u64>,
}

impl Entry {
    fn remember(&mut self, given: u64) {
        self.given.push_back(given);
        if self.given.len() > MAX_GIVEN {
            self.given.pop_front();
        }
    }

    /// The change, or what is known instead if it may come from a copy of the store that shows an
    /// earlier state.
    fn judge(&self, change: OrderChange) -> OrderChange {
        let is_later_era = change.revision.era > self.revision.era;
        let is_given_anew =
            change.order != self.order && !self.given.contains(&change.revision.number);
        if !is_later_era || is_given_anew || change.source != Source::Listed {
            return change;
        }
        let source = match self.source {
            Source::Listed => return change,
            Source::Carried(known) => Source::Carried(known),
            Source::Seen => Source::Carried(self.revision),
        };
        OrderChange { order: self.order.clone(), source, ..change }
    }
}

impl Orders {
    /// Revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Digest of the keys of the orders in effect; equal sets have equal digests.
    pub fn digest(&self) -> u64 {
        self.active().fold(0, |sum, (key, _)| sum ^ digest(key))
    }

    /// Records that the store is in an era.
    pub(crate) fn begin_era(&mut self, era: u64) {
        self.revision = self.revision.max(Revision::new(era, 0));
    }

    /// Forgets all orders.
    pub(crate) fn forget(&mut self) {
        self.entries.clear();
    }

    /// Applies a change from another host. `synced` holds the last revisions of eras up to which
    /// these orders are complete: an unknown order that was given before one of them, in the same
    /// era, has been withdrawn.
    pub fn merge(&mut self, change: OrderChange, synced: &[Revision]) -> bool {
        let Some(entry) = self.entries.get(&change.key) else {
            let revision = change.revision;
            let is_over = synced.iter().any(|s| s.era == revision.era && revision <= *s);
            let order = change.order.filter(|_| !is_over);
            return self.apply(OrderChange { order, ..change });
        };
        let change = entry.judge(change);
        self.apply(change)
    }

    /// Applies the orders of a listing, as [`View::list_orders`](crate::View::list_orders) does.
    pub(crate) fn list(
        &mut self,
        listed: Vec<OrderChange>,
        present: &Set<Name>,
        synced: Revision,
    ) -> Vec<OrderChange> {
        let mut changes = Vec::new();
        for change in listed {
            let known = self.entries.get(&change.key);
            let change = known.map_or_else(|| change.clone(), |e| e.judge(change.clone()));
            if self.apply(change.clone()) {
                changes.push(change);
            }
        }
        let is_over = |key: &Name, e: &Entry| {
            e.order.is_some() && e.revision.era == synced.era && !present.contains(key)
        };
        let over = self.entries.iter().filter(|(key, e)| is_over(key, e));
        let over: Vec<Name> = over.map(|(key, _)| key.clone()).collect();
        for key in over {
            let change = OrderChange { key, revision: synced, order: None, source: Source::Seen };
            if self.apply(change.clone()) {
                changes.push(change);
            }
        }
        changes
    }

    /// Ends the orders that are not in `present`, a complete set as of revision `last`; true if
    /// there were any. Those known from an earlier era stay in force.
    pub fn retain(&mut self, present: &Set<Name>, last: Revision) -> bool {
        let mut changed = false;
        for (key, entry) in &mut self.entries {
            let is_older = entry.revision.era == last.era && entry.revision <= last;
            if is_older && !present.contains(key) {
                changed |= entry.order.take().is_some();
            }
        }
        changed
    }

    /// Applies a change; true if the order differs. A newer change is passed on to other hosts even
    /// if it does not.
    pub fn apply(&mut self, change: OrderChange) -> bool {
        let OrderChange { key, revision, order, source } = change;
        let entry = self.entries.entry(key).or_default();
        let (told, known) = ((revision, source), (entry.revision, entry.source));
        // Another host may only know that the order is over, not when it ended.
        let is_over = told == known && order.is_none();
        if told <= known && !is_over {
            return false;
        }
        entry.revision = revision;
        entry.source = source;
        self.revision = self.revision.max(revision);
        if order.is_some() {
            entry.remember(revision.number);
        }
        std::mem::replace(&mut entry.order, order) != entry.order
    }

    /// Orders in effect, by key.
    pub fn active(&self) -> impl Iterator<Item = (&Name, &Order)> {
        self.entries.iter().filter_map(|(key, entry)| Some((key, entry.order.as_ref()?)))
    }

    /// Changes after revision `after`, up to and including `last`.
    pub fn between(&self, after: Revision, last: Revision) -> Vec<OrderChange> {
        let is_in = |revision: Revision| revision > after && revision <= last;
        let changed = self.entries.iter().filter(|(_, e)| is_in(e.revision));
        let change = |(key, entry): (&Name, &Entry)| OrderChange {
            key: key.clone(),
            revision: entry.revision,
            order: entry.order.clone(),
            source: entry.source,
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

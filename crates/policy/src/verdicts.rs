//! Verdicts on new versions, as a grow-only set.
//!
//! Hosts exchange their sets in any order and any number of times. Two verdicts on the same move
//! merge to the lesser one, so that the sets of all hosts converge.

use std::collections::BTreeMap;

use sapphirerack_catalogue::{Fault, Name, Reason};
use serde::{Deserialize, Serialize};

/// Why a new version was found bad.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Kind of fault.
    pub fault: Fault,
    /// Route that shows the fault; `None` if it shows over all routes together.
    pub route: Option<Name>,
}

impl Verdict {
    /// Reason for the move's record.
    pub fn reason(&self) -> Reason {
        Reason::Verdict { fault: self.fault, route: self.route.clone() }
    }

    fn merge_key(&self) -> (bool, Option<&Name>) {
        (self.fault == Fault::Slow, self.route.as_ref())
    }
}

/// Verdicts by id of the move.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdicts {
    by_move: BTreeMap<Name, Verdict>,
}

impl Verdicts {
    /// Verdict on a move.
    pub fn get(&self, id: &str) -> Option<&Verdict> {
        self.by_move.get(id)
    }

    /// Adds a verdict; returns whether the set changed.
    pub fn add(&mut self, id: Name, verdict: Verdict) -> bool {
        match self.by_move.get(&id) {
            Some(known) if known.merge_key() <= verdict.merge_key() => false,
            _ => {
                self.by_move.insert(id, verdict);
                true
            }
        }
    }

    /// Adds all verdicts of another set; returns whether this set changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (id, verdict) in &other.by_move {
            changed |= self.add(id.clone(), verdict.clone());
        }
        changed
    }

    /// Drops the verdicts on moves for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_move.retain(|id, _| keep(id));
    }

    /// All verdicts.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Verdict)> {
        self.by_move.iter()
    }

    /// Number of verdicts.
    pub fn len(&self) -> usize {
        self.by_move.len()
    }

    /// Whether there is no verdict.
    pub fn is_empty(&self) -> bool {
        self.by_move.is_empty()
    }
}

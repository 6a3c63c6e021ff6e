//! Verdicts on new versions, as a set that only grows.
//!
//! Hosts exchange their sets in any order and as often as they like. Two verdicts on the same move
//! merge to the lesser one, so that all hosts end with the same set.

use std::collections::BTreeMap;

use sapphirerack_catalogue::{Fault, Name, Reason};
use serde::{Deserialize, Serialize};

/// Why a new version was found bad.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// What it does wrong.
    pub fault: Fault,
    /// Route on which it does so; `None` if on all together.
    pub route: Option<Name>,
}

impl Verdict {
    /// The reason to write into the move's record.
    pub fn reason(&self) -> Reason {
        Reason::Verdict { fault: self.fault, route: self.route.clone() }
    }

    fn order(&self) -> (bool, Option<&Name>) {
        (self.fault == Fault::Slow, self.route.as_ref())
    }
}

/// Verdicts by the id of the move.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdicts {
    by_move: BTreeMap<Name, Verdict>,
}

impl Verdicts {
    /// Verdict on a move.
    pub fn get(&self, id: &str) -> Option<&Verdict> {
        self.by_move.get(id)
    }

    /// Adds a verdict; tells whether the set changed.
    pub fn add(&mut self, id: Name, verdict: Verdict) -> bool {
        match self.by_move.get(&id) {
            Some(known) if known.order() <= verdict.order() => false,
            _ => {
                self.by_move.insert(id, verdict);
                true
            }
        }
    }

    /// Adds all verdicts of another set; tells whether this one changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (id, verdict) in &other.by_move {
            changed |= self.add(id.clone(), verdict.clone());
        }
        changed
    }

    /// Keeps the verdicts on moves that are still wanted.
    pub fn retain(&mut self, wanted: impl Fn(&str) -> bool) {
        self.by_move.retain(|id, _| wanted(id));
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

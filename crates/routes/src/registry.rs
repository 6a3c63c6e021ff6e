//! All targets, and which announcement wins.
//!
//! Announcements and removals carry the revision at which the store took them. An announcement
//! that the target made earlier than the one that is known is ignored whatever its revision: a
//! write that was delayed must not bring back a target that drains or has gone.

use std::sync::Arc;

use sapphirerack_catalogue::{Map, Name};

use crate::{Target, TargetChange};

/// All targets that were ever announced, also those that have gone.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: Map<Name, Entry>,
    revision: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    last: Option<Arc<Target>>,
    listed: bool,
    revision: u64,
}

impl Registry {
    /// Revision of the last change that mattered.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Announced targets, those that drain among them.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.entries.values().filter(|e| e.listed).filter_map(|e| e.last.as_ref())
    }

    /// The last announcement of a target, whether or not it has gone.
    pub fn get(&self, id: &str) -> Option<&Arc<Target>> {
        self.entries.get(id).and_then(|e| e.last.as_ref())
    }

    /// Ids that are announced.
    pub fn listed(&self) -> impl Iterator<Item = &Name> {
        self.entries.iter().filter(|(_, e)| e.listed).map(|(id, _)| id)
    }

    /// Takes an announcement; true if it changes where requests may go.
    pub fn announce(&mut self, target: Target, revision: u64) -> bool {
        let Some(entry) = self.entries.get_mut(&target.id) else {
            let id = target.id.clone();
            let entry = Entry { last: Some(Arc::new(target)), listed: true, revision };
            self.entries.insert(id, entry);
            self.revision = self.revision.max(revision);
            return true;
        };
        if revision <= entry.revision {
            return false;
        }
        let mut target = target;
        if let Some(last) = &entry.last {
            if !target.is_newer(last) {
                return false;
            }
            // A run that drains never takes work again.
            target.draining |= last.draining && last.born == target.born;
        }
        let same =
            entry.listed && entry.last.as_ref().is_some_and(|last| last.is_equivalent(&target));
        entry.last = Some(Arc::new(target));
        if same {
            return false;
        }
        entry.listed = true;
        entry.revision = revision;
        self.revision = self.revision.max(revision);
        true
    }

    /// Takes the removal of an entry, or one that can't be used; true if the target was announced.
    pub fn remove(&mut self, id: &Name, revision: u64) -> bool {
        let Some(entry) = self.entries.get_mut(id) else { return false };
        if revision <= entry.revision || !entry.listed {
            return false;
        }
        entry.listed = false;
        entry.revision = revision;
        self.revision = self.revision.max(revision);
        true
    }

    /// Changes after one revision and up to another, for a host that knows all up to the first.
    pub fn between(&self, after: u64, last: u64) -> Vec<TargetChange> {
        let told = |e: &Entry| e.revision > after && e.revision <= last;
        let later = self.entries.iter().filter(|(_, e)| told(e));
        let change = |(id, entry): (&Name, &Entry)| TargetChange {
            id: id.clone(),
            revision: entry.revision,
            target: entry.last.as_deref().cloned(),
            listed: entry.listed,
        };
        later.map(change).collect()
    }

    /// Takes a change from another host; true if it changes where requests may go.
    ///
    /// The change is passed on even if it says what is known already: a host that learns from
    /// this one asks only for what came after a revision.
    pub fn merge(&mut self, change: TargetChange) -> bool {
        let TargetChange { id, revision, target, listed } = change;
        self.revision = self.revision.max(revision);
        let Some(entry) = self.entries.get_mut(&id) else {
            let last = target.map(Arc::new);
            let changed = listed && last.is_some();
            self.entries.insert(id, Entry { last, listed: changed, revision });
            return changed;
        };
        let older = match (&target, &entry.last) {
            (Some(target), Some(last)) => last.is_newer(target),
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if revision <= entry.revision || (listed && older) {
            return false;
        }
        let mut target = target.map(Arc::new);
        let mut same = entry.listed == listed;
        if let (Some(target), Some(last)) = (&mut target, &entry.last) {
            let drains = last.draining && last.born == target.born;
            if drains && !target.draining {
                Arc::make_mut(target).draining = true;
            }
            same &= !listed || last.is_equivalent(target);
        }
        if !older {
            entry.last = target;
        }
        entry.listed = listed;
        entry.revision = revision;
        !same
    }
}

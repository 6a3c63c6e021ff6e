//! All targets, and which announcement takes precedence.
//!
//! Announcements and removals carry the revision at which the store wrote them. An announcement
//! that the target made before the known one is ignored whatever its revision: a delayed write must
//! not bring back a target that drains or is gone.

use std::sync::Arc;

use sapphirerack_catalogue::{Map, Name, Set};

use crate::digest::digest;
use crate::{Target, TargetChange};

/// All targets ever announced, including those that are gone.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: Map<Name, Entry>,
    revision: u64,
    /// Digest of the ids of announced targets.
    digest: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Last announcement.
    last: Option<Arc<Target>>,
    listed: bool,
    revision: u64,
}

impl Registry {
    /// Highest revision of the recorded changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Digest of the set of announced targets; equal sets have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Announced targets, including draining ones.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.entries.values().filter(|e| e.listed).filter_map(|e| e.last.as_ref())
    }

    /// Last announcement of a target, whether or not it is gone.
    pub fn get(&self, id: &str) -> Option<&Arc<Target>> {
        self.entries.get(id).and_then(|e| e.last.as_ref())
    }

    /// Ids of announced targets.
    pub fn listed(&self) -> impl Iterator<Item = &Name> {
        self.entries.iter().filter(|(_, e)| e.listed).map(|(id, _)| id)
    }

    /// Applies an announcement; true if it changes where requests may go.
    pub fn announce(&mut self, target: Target, revision: u64) -> bool {
        let Some(entry) = self.entries.get_mut(&target.id) else {
            let id = target.id.clone();
            let entry = Entry { last: Some(Arc::new(target)), listed: true, revision };
            self.digest ^= digest(&id);
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
            // A draining process never takes requests again.
            target.draining |= last.draining && last.born == target.born;
        }
        let same =
            entry.listed && entry.last.as_ref().is_some_and(|last| last.is_equivalent(&target));
        let id = target.id.clone();
        entry.last = Some(Arc::new(target));
        if same {
            return false;
        }
        if !std::mem::replace(&mut entry.listed, true) {
            self.digest ^= digest(&id);
        }
        entry.revision = revision;
        self.revision = self.revision.max(revision);
        true
    }

    /// Removes a target whose entry is gone or describes no usable target; true if the target was
    /// announced.
    pub fn remove(&mut self, id: &Name, revision: u64) -> bool {
        let Some(entry) = self.entries.get_mut(id) else { return false };
        if revision <= entry.revision || !entry.listed {
            return false;
        }
        entry.listed = false;
        entry.revision = revision;
        self.digest ^= digest(id);
        self.revision = self.revision.max(revision);
        true
    }

    /// Removes the announced targets that are not in `present`, a complete set as of revision
    /// `last`; true if there were any.
    pub fn retain(&mut self, present: &Set<Name>, last: u64) -> bool {
        let mut changed = false;
        for (id, entry) in &mut self.entries {
            if entry.listed && entry.revision <= last && !present.contains(id) {
                entry.listed = false;
                self.digest ^= digest(id);
                changed = true;
            }
        }
        changed
    }

    /// Records that the process of a target that started at `born` is about to exit; true if it
    /// was not known to be.
    pub fn mark_leaving(&mut self, id: &str, born: u64) -> bool {
        let last = self.entries.get_mut(id).and_then(|e| e.last.as_mut());
        let Some(last) = last.filter(|t| t.born == born && !t.draining) else { return false };
        Arc::make_mut(last).draining = true;
        true
    }

    /// Changes after revision `after`, up to and including `last`; complete for a host that has all
    /// changes up to `after`.
    pub fn between(&self, after: u64, last: u64) -> Vec<TargetChange> {
        let in_range = |e: &Entry| e.revision > after && e.revision <= last;
        let entries = self.entries.iter().filter(|(_, e)| in_range(e));
        let change = |(id, entry): (&Name, &Entry)| TargetChange {
            id: id.clone(),
            revision: entry.revision,
            target: entry.last.as_deref().cloned(),
            listed: entry.listed,
        };
        entries.map(change).collect()
    }

    /// Applies a change from another host; true if it changes where requests may go.
    ///
    /// Its revision is recorded even if the content is known: other hosts request only the changes
    /// after a revision, and must get this one. `synced` is the revision up to which this registry
    /// is complete: an unknown target that was announced before it is gone.
    pub fn merge(&mut self, change: TargetChange, synced: u64) -> bool {
        let TargetChange { id, revision, target, listed } = change;
        self.revision = self.revision.max(revision);
        let Some(entry) = self.entries.get_mut(&id) else {
            let last = target.map(Arc::new);
            let changed = listed && last.is_some() && revision > synced;
            if changed {
                self.digest ^= digest(&id);
            }
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
        if std::mem::replace(&mut entry.listed, listed) != listed {
            self.digest ^= digest(&id);
        }
        entry.revision = revision;
        !same
    }
}

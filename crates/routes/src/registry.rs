//! All targets, and which announcement takes precedence.
//!
//! Announcements and removals carry the revision at which the store wrote them. An announcement
//! that the target made before the known one is ignored whatever its revision: a delayed write must
//! not bring back a target that drains or is gone. A store that was restored from a copy shows such
//! announcements; what is known instead is carried into the new era, and told to hosts that know
//! only the copy.

use std::sync::Arc;

use sapphirerack_catalogue::{Map, Name, Set};

use crate::digest::{digest, target_digest};
use crate::{Revision, Target, TargetChange};

/// All targets ever announced, including those that are gone.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: Map<Name, Entry>,
    revision: Revision,
    /// Digest of the announced targets.
    digest: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Last announcement.
    last: Option<Arc<Target>>,
    listed: bool,
    revision: Revision,
    /// Whether this is known from an earlier era than that of `revision`, at which the restored store
    /// shows an older state.
    carried: bool,
}

impl Entry {
    /// Digest of the entry; 0 if the target is not announced.
    fn digest(&self, id: &str) -> u64 {
        let carried = self.last.as_deref().filter(|_| self.carried);
        match self.listed {
            true => digest(id) ^ carried.map_or(0, target_digest),
            false => 0,
        }
    }

    fn knowledge(&self) -> Knowledge {
        Knowledge::new(self.last.as_deref(), self.listed)
    }

    /// Keeps what is known, although the store shows an older state at `revision`, in a later era.
    fn carry(&mut self, revision: Revision) {
        self.revision = revision;
        self.carried = true;
    }
}

/// How much is known of a target, in the order in which it becomes known. A process neither takes
/// back that it drains, nor announces the same twice.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Knowledge {
    /// Start of the process and sequence number of its last announcement.
    last: Option<(u64, u64)>,
    draining: bool,
    gone: bool,
}

impl Knowledge {
    fn new(last: Option<&Target>, listed: bool) -> Self {
        Self {
            last: last.map(|t| (t.born, t.sequence)),
            draining: last.is_some_and(|t| t.draining),
            gone: !listed,
        }
    }
}

impl Registry {
    /// Highest revision of the recorded changes.
    pub fn revision(&self) -> Revision {
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

    /// Ids of targets that were announced before an era of the store, and not seen in it.
    pub fn announced_before(&self, era: u64) -> impl Iterator<Item = &Name> {
        let is_before = move |e: &Entry| e.listed && e.revision.era < era;
        self.entries.iter().filter(move |(_, e)| is_before(e)).map(|(id, _)| id)
    }

    /// Records that the store is in an era.
    pub(crate) fn begin_era(&mut self, era: u64) {
        self.revision = self.revision.max(Revision::new(era, 0));
    }

    /// Changes an entry, and the digest with it.
    fn change<T>(&mut self, id: &str, change: impl FnOnce(&mut Entry) -> T) -> Option<T> {
        let entry = self.entries.get_mut(id)?;
        let before = entry.digest(id);
        let result = change(entry);
        self.digest ^= before ^ entry.digest(id);
        Some(result)
    }

    fn insert(&mut self, id: Name, entry: Entry) {
        self.digest ^= entry.digest(&id);
        self.entries.insert(id, entry);
    }

    /// Applies an announcement; true if it changes where requests may go.
    pub fn announce(&mut self, target: Target, revision: Revision) -> bool {
        let id = target.id.clone();
        let Some(known) = self.entries.get(&id) else {
            let last = Some(Arc::new(target));
            self.insert(id, Entry { last, listed: true, revision, carried: false });
            self.revision = self.revision.max(revision);
            return true;
        };
        if revision <= known.revision {
            return false;
        }
        let is_later_era = revision.era > known.revision.era;
        if known.last.as_ref().is_some_and(|last| !target.is_newer(last)) {
            if is_later_era {
                self.revision = self.revision.max(revision);
                self.change(&id, |entry| entry.confirm_or_carry(&target, revision));
            }
            return false;
        }
        let applied = self.change(&id, |e| (e.announce(target, revision), e.revision));
        let (changed, recorded) = applied.unwrap_or_default();
        self.revision = self.revision.max(recorded);
        changed
    }

    /// Removes a target whose entry is gone or describes no usable target; true if the target was
    /// announced.
    pub fn remove(&mut self, id: &Name, revision: Revision) -> bool {
        let Some(entry) = self.entries.get(id) else { return false };
        if revision <= entry.revision || !entry.listed {
            return false;
        }
        self.change(id, |entry| {
            entry.listed = false;
            entry.carried = false;
            entry.revision = revision;
        });
        self.revision = self.revision.max(revision);
        true
    }

    /// Removes the announced targets that are not in `present`, a complete set as of revision
    /// `last`; true if there were any. Targets that were announced in an earlier era stay: a restored
    /// store may lack them for a while.
    pub fn retain(&mut self, present: &Set<Name>, last: Revision) -> bool {
        let is_missing = |id: &Name, e: &Entry| {
            let is_older = e.revision.era == last.era && e.revision <= last;
            e.listed && is_older && !present.contains(id)
        };
        let missing = self.entries.iter().filter(|(id, e)| is_missing(id, e));
        let missing: Vec<Name> = missing.map(|(id, _)| id.clone()).collect();
        for id in &missing {
            self.change(id, |entry| entry.listed = false);
        }
        !missing.is_empty()
    }

    /// Records that the process of a target that started at `born` is about to exit; true if it
    /// was not known to be.
    pub fn mark_leaving(&mut self, id: &str, born: u64) -> bool {
        let mark = |entry: &mut Entry| {
            let last = entry.last.as_mut();
            let Some(last) = last.filter(|t| t.born == born && !t.draining) else { return false };
            Arc::make_mut(last).draining = true;
            true
        };
        self.change(id, mark).unwrap_or_default()
    }

    /// Changes after revision `after`, up to and including `last`; complete for a host that has all
    /// changes up to `after`.
    pub fn between(&self, after: Revision, last: Revision) -> Vec<TargetChange> {
        let in_range = |e: &Entry| e.revision > after && e.revision <= last;
        let entries = self.entries.iter().filter(|(_, e)| in_range(e));
        let change = |(id, entry): (&Name, &Entry)| TargetChange {
            id: id.clone(),
            revision: entry.revision,
            target: entry.last.as_deref().cloned(),
            listed: entry.listed,
            carried: entry.carried,
        };
        entries.map(change).collect()
    }

    /// Applies a change from another host; true if it changes where requests may go.
    ///
    /// Its revision is recorded even if the content is known: other hosts request only the changes
    /// after a revision, and must get this one. `synced` is the revision up to which this registry
    /// is complete: an unknown target that was announced before it is gone.
    pub fn merge(&mut self, change: TargetChange, synced: Revision) -> bool {
        self.revision = self.revision.max(change.revision);
        if self.entries.contains_key(&change.id) {
            let id = change.id.clone();
            return self.change(&id, |entry| entry.merge(change)).unwrap_or_default();
        }
        let TargetChange { id, revision, target, listed, carried } = change;
        let last = target.map(Arc::new);
        let listed = listed && last.is_some() && revision > synced;
        self.insert(id, Entry { last, listed, revision, carried });
        listed
    }
}

impl Entry {
    /// Applies a newer announcement; true if it changes where requests may go.
    fn announce(&mut self, mut target: Target, revision: Revision) -> bool {
        if let Some(last) = &self.last {
            // A draining process never takes requests again.
            target.draining |= last.draining && last.born == target.born;
        }
        let same =
            self.listed && self.last.as_ref().is_some_and(|last| last.is_equivalent(&target));
        let is_known = same && !self.carried && self.revision.era == revision.era;
        self.last = Some(Arc::new(target));
        if is_known {
            return false;
        }
        self.listed = true;
        self.carried = false;
        self.revision = revision;
        !same
    }

    /// Applies what a restored store shows of a target, which is not newer than what is known.
    fn confirm_or_carry(&mut self, target: &Target, revision: Revision) {
        let confirmed = self.listed && self.last.as_ref().is_some_and(|l| l.is_equivalent(target));
        match confirmed {
            true => self.revision = revision,
            false => self.carry(revision),
        }
    }

    /// Applies a change from another host; true if it changes where requests may go.
    fn merge(&mut self, change: TargetChange) -> bool {
        let TargetChange { revision, target, listed, carried, .. } = change;
        let told = Knowledge::new(target.as_ref(), listed);
        let knows_more = carried && told > self.knowledge();
        if revision < self.revision || (revision == self.revision && !knows_more) {
            return false;
        }
        let is_later_era = revision.era > self.revision.era;
        let older = match (&target, &self.last) {
            (Some(_), Some(_)) if is_later_era => told < self.knowledge(),
            (Some(target), Some(last)) => last.is_newer(target),
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if older && (listed || carried) {
            if is_later_era {
                self.carry(revision);
            }
            return false;
        }
        let mut target = target.map(Arc::new);
        let mut same = self.listed == listed;
        if let (Some(target), Some(last)) = (&mut target, &self.last) {
            let drains = last.draining && last.born == target.born;
            if drains && !target.draining {
                Arc::make_mut(target).draining = true;
            }
            same &= !listed || last.is_equivalent(target);
        }
        if !older {
            self.last = target;
        }
        self.listed = listed;
        self.carried = carried;
        self.revision = revision;
        !same
    }
}

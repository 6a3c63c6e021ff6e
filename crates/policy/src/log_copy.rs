//! In-memory copy of a partition's log, which is a ring of slots in the store.
//!
//! Segment `n` is stored in slot `n % slots`. A segment is created only after the previous one was
//! sealed, and a sealed segment does not change until its slot is reused. The copy is therefore
//! consistent when every slot holds the segment that belongs there beside the newest one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::booking::{KeyId, Record, Segment};

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Slot {
    version: u64,
    number: u64,
    sealed: bool,
    written: Duration,
}

/// Copy of one partition's log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LogCopy {
    slots: Vec<Slot>,
    tail: Segment,
    /// Slots that must be read.
    pub stale: BTreeSet<u64>,
    index: BTreeMap<KeyId, (u64, Record)>,
}

impl LogCopy {
    /// Creates a copy of a log that has not been read.
    pub(crate) fn new(slots: u64) -> Self {
        Self {
            slots: (0..slots).map(|_| Slot::default()).collect(),
            tail: Segment::default(),
            stale: (0..slots).collect(),
            index: BTreeMap::new(),
        }
    }

    /// Number of keys in the copy.
    pub(crate) fn len(&self) -> usize {
        self.index.len()
    }

    /// Latest record of a key.
    pub(crate) fn record(&self, key: KeyId) -> Option<&Record> {
        self.index.get(&key).map(|(_, record)| record)
    }

    /// Slot of the newest segment.
    pub(crate) fn tail_slot(&self) -> u64 {
        self.tail.number % self.slot_count()
    }

    /// Slot of a segment and the slot's version when last read or written.
    pub(crate) fn slot_of(&self, number: u64) -> (u64, u64) {
        let slot = number % self.slot_count();
        (slot, self.slots[slot as usize].version)
    }

    /// Marks a slot as read; returns whether the copy is consistent.
    pub(crate) fn mark_read(&mut self, slot: u64) -> bool {
        self.stale.remove(&slot);
        if self.stale.is_empty() {
            self.stale = self.inconsistent();
        }
        self.stale.is_empty()
    }

    fn slot_count(&self) -> u64 {
        self.slots.len() as u64
    }

    /// Slots that were read too early to be consistent with the newest segment.
    fn inconsistent(&self) -> BTreeSet<u64> {
        let newest = self.tail.number;
        let expected = |slot: u64| {
            let age = (newest + self.slot_count() - slot) % self.slot_count();
            newest.saturating_sub(age)
        };
        let is_stale = |slot: &u64| {
            let copy = &self.slots[*slot as usize];
            copy.number != expected(*slot)
                || copy.number < newest && copy.number > 0 && !copy.sealed
        };
        (0..self.slot_count()).filter(is_stale).collect()
    }

    /// Applies a segment that was read or written; an older version of the slot is ignored.
    pub(crate) fn merge(&mut self, slot: u64, version: u64, segment: Segment) {
        let copy = &mut self.slots[slot as usize];
        if version < copy.version {
            return;
        }
        let replaced = copy.number;
        copy.version = version;
        copy.number = segment.number;
        copy.sealed = segment.sealed;
        copy.written = segment.written;
        if replaced != segment.number {
            self.index.retain(|_, (number, _)| *number != replaced);
        }
        for record in &segment.records {
            self.index_record(segment.number, record);
        }
        if segment.number >= self.tail.number {
            self.tail = segment;
        }
    }

    fn index_record(&mut self, number: u64, record: &Record) {
        match self.index.get_mut(&record.key) {
            Some((segment, old)) if record.replaces(old) => {
                *old = record.clone();
                *segment = (*segment).max(number);
            }
            Some((segment, old)) if record == old => *segment = (*segment).max(number),
            Some(_) => {}
            None => {
                self.index.insert(record.key, (number, record.clone()));
            }
        }
    }

    /// The unsealed segment, or a new one; `None` while all slots hold keys within the retention.
    pub(crate) fn next_segment(&self, now: Duration, retention: Duration) -> Option<Segment> {
        if self.tail.number > 0 && !self.tail.sealed {
            return Some(self.tail.clone());
        }
        let number = self.tail.number + 1;
        let oldest = &self.slots[(number % self.slot_count()) as usize];
        let is_free = oldest.number == 0 || now >= oldest.written + retention;
        is_free.then(|| Segment { number, ..Segment::default() })
    }
}

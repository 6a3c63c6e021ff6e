//! A host's copy of a partition's log, which is a ring of slots in the store.
//!
//! Segment `n` stands in slot `n % slots`. A segment is created only after the one before it was
//! sealed, and sealed ones do not change until their slot is used again, so that a copy is whole
//! when every slot holds the segment that is due beside the newest one.

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
    /// Copy of a log of which nothing has been read.
    pub(crate) fn new(slots: u64) -> Self {
        Self {
            slots: (0..slots).map(|_| Slot::default()).collect(),
            tail: Segment::default(),
            stale: (0..slots).collect(),
            index: BTreeMap::new(),
        }
    }

    /// Keys in the copy.
    pub(crate) fn len(&self) -> usize {
        self.index.len()
    }

    /// Newest record of a key.
    pub(crate) fn record(&self, key: KeyId) -> Option<&Record> {
        self.index.get(&key).map(|(_, record)| record)
    }

    /// Slot of the newest segment.
    pub(crate) fn tail_slot(&self) -> u64 {
        self.tail.number % self.count()
    }

    /// Slot of a segment and the version that the slot had.
    pub(crate) fn place(&self, number: u64) -> (u64, u64) {
        let slot = number % self.count();
        (slot, self.slots[slot as usize].version)
    }

    /// Takes note that a slot was read; tells whether the copy is whole.
    pub(crate) fn confirm(&mut self, slot: u64) -> bool {
        self.stale.remove(&slot);
        if self.stale.is_empty() {
            self.stale = self.inconsistent();
        }
        self.stale.is_empty()
    }

    fn count(&self) -> u64 {
        self.slots.len() as u64
    }

    /// Slots whose copy can't stand beside the newest segment, as it was read too early.
    fn inconsistent(&self) -> BTreeSet<u64> {
        let newest = self.tail.number;
        let due = |slot: u64| {
            let back = (newest + self.count() - slot) % self.count();
            newest.saturating_sub(back)
        };
        let is_stale = |slot: &u64| {
            let copy = &self.slots[*slot as usize];
            copy.number != due(*slot) || copy.number < newest && copy.number > 0 && !copy.sealed
        };
        (0..self.count()).filter(is_stale).collect()
    }

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
            self.learn(segment.number, record);
        }
        if segment.number >= self.tail.number {
            self.tail = segment;
        }
    }

    fn learn(&mut self, number: u64, record: &Record) {
        match self.index.get_mut(&record.key) {
            Some((held, old)) if record.replaces(old) => {
                *old = record.clone();
                *held = (*held).max(number);
            }
            Some((held, old)) if record == old => *held = (*held).max(number),
            Some(_) => {}
            None => {
                self.index.insert(record.key, (number, record.clone()));
            }
        }
    }

    /// The unsealed segment, or a new one; `None` while every slot holds keys to be remembered.
    pub(crate) fn next_segment(&self, now: Duration, retention: Duration) -> Option<Segment> {
        if self.tail.number > 0 && !self.tail.sealed {
            return Some(self.tail.clone());
        }
        let number = self.tail.number + 1;
        let oldest = &self.slots[(number % self.count()) as usize];
        let is_free = oldest.number == 0 || now >= oldest.written + retention;
        is_free.then(|| Segment { number, ..Segment::default() })
    }
}

//! Bookings: requests that must run at most once.
//!
//! A caller's key is hashed to one of [`PARTITIONS`] logs in the platform's store. The owner of a
//! partition (any host may believe to be it) writes the claim of a key into the log before it
//! dispatches the request, and the outcome afterwards. All claims and outcomes that came since the
//! last write share the next one. The log is one line of [`Segment`]s; only its newest segment is
//! unsealed, and every write is a compare-and-swap of it, so that of two owners one wins and the
//! other reads before it goes on. Nothing relies on a lease or on the time: an open claim can be
//! dispatched only by the host incarnation ([`Runner`]) that wrote it, whatever it slept through.
//!
//! An attempt is closed as not run only by its own runner, after which no host can dispatch it.
//! A further attempt under the same key carries the next number and claims it likewise.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

pub use sapphirerack_protocol::{Ended, Verdict};

pub use crate::event::{Action, BookingRequest, Event, Found, LedgerLimits, Written};
pub use crate::ledger::Ledger;

/// Logs over which keys are spread; a change needs a move, as it would forget every key.
pub const PARTITIONS: u32 = 64;

const ID_BYTES: usize = 16;

/// Bytes of a record in the store beyond its answer, rounded up.
const RECORD_BYTES: usize = 64;

/// Hash of a service and an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyId([u8; ID_BYTES]);

impl KeyId {
    /// Hash of `key` as used with `service`.
    pub fn new(service: &str, key: &str) -> Self {
        Self(digest(&[service.as_bytes(), key.as_bytes()]))
    }

    /// Partition whose log holds the key.
    pub fn partition(self) -> u32 {
        self.point() % PARTITIONS
    }

    /// Uniform point of the hash.
    pub fn point(self) -> u32 {
        let [a, b, c, d, ..] = self.0;
        u32::from_le_bytes([a, b, c, d])
    }
}

/// Hash of everything that two requests with one key must have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BodyHash([u8; ID_BYTES]);

impl BodyHash {
    /// Hash of a body and of what routes it.
    pub fn new(partition: &str, body: &[u8]) -> Self {
        Self(digest(&[partition.as_bytes(), body]))
    }
}

/// One incarnation of a host; a restarted host is another runner.
pub type Runner = u64;

/// How far an attempt has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Progress {
    /// Claimed by a runner, which may have dispatched it.
    Open {
        /// The only incarnation that may dispatch it.
        runner: Runner,
        /// Time since the Unix epoch after which the runner does not dispatch it any more.
        deadline: Duration,
    },
    /// Ran; the target's answer.
    Done(Vec<u8>),
    /// Did not run and never will.
    NotRun,
}

/// What a log holds of one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: KeyId,
    /// Number of the attempt under the key, from 1.
    pub attempt: u32,
    /// What the request consists of.
    pub body: BodyHash,
    /// How far the attempt has come.
    pub progress: Progress,
}

impl Record {
    /// Upper bound of the record's size in the store, in bytes.
    pub fn size(&self) -> usize {
        match &self.progress {
            Progress::Done(answer) => RECORD_BYTES + answer.len(),
            Progress::Open { .. } | Progress::NotRun => RECORD_BYTES,
        }
    }

    /// Whether this record replaces `other` of the same key.
    pub(crate) fn replaces(&self, other: &Self) -> bool {
        let is_open = |r: &Self| matches!(r.progress, Progress::Open { .. });
        let is_outcome = self.attempt == other.attempt && is_open(other) && !is_open(self);
        self.attempt > other.attempt || is_outcome
    }
}

/// Part of a partition's log; one value of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Segment {
    /// Position in the log, from 1.
    pub number: u64,
    /// Whether it is complete, so that the next one may exist.
    pub sealed: bool,
    /// Time since the Unix epoch at which it was last written.
    pub written: Duration,
    /// Records; a later record of a key replaces earlier ones.
    pub records: Vec<Record>,
}

impl Segment {
    /// Upper bound of the segment's size in the store, in bytes.
    pub fn size(&self) -> usize {
        self.records.iter().map(Record::size).sum::<usize>() + RECORD_BYTES
    }

    pub(crate) fn put(&mut self, record: Record) {
        match self.records.iter_mut().find(|r| r.key == record.key) {
            Some(old) if record.replaces(old) => *old = record,
            Some(_) => {}
            None => self.records.push(record),
        }
    }
}

fn digest(parts: &[&[u8]]) -> [u8; ID_BYTES] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut id = [0; ID_BYTES];
    id.copy_from_slice(&hasher.finalize()[..ID_BYTES]);
    id
}

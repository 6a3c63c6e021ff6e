//! Bookings: requests that must run at most once.
//!
//! A caller's idempotency key is hashed to one of [`PARTITIONS`] logs in the platform's store. The
//! owner of a partition writes a claim of the key to the log before it dispatches the request, and
//! the outcome afterwards. Several hosts may act as owner at the same time. Claims and outcomes
//! that arrive between two writes are batched into the next one. The log is a sequence of
//! [`Segment`]s, of which only the newest is unsealed. Every write is a compare-and-swap of the
//! newest segment, so that of two owners one succeeds and the other reads the log before it
//! continues. Safety depends on no lease and no clock: an open claim can be dispatched only by the
//! host incarnation ([`Runner`]) that wrote it, however long that host was paused.
//!
//! An attempt is closed as not run only by its own runner, after which no host can dispatch it.
//! A further attempt under the same key has the next number and needs a claim of its own.
//!
//! These partitions are unrelated to the partition space of a service, which its shards divide.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

pub use sapphirerack_protocol::{AttemptOutcome, BookingOutcome};

pub use crate::event::{Action, ClaimRequest, Event, Found, LedgerLimits, Written};
pub use crate::ledger::Ledger;

/// Number of logs over which keys are hashed. A change must migrate the logs, or all keys are lost.
pub const PARTITIONS: u32 = 64;

const ID_BYTES: usize = 16;

/// Upper bound of the encoded size of a record without its response.
const RECORD_BYTES: usize = 64;

/// Hash of a service and an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyId([u8; ID_BYTES]);

impl KeyId {
    /// Hashes `key` together with `service`.
    pub fn new(service: &str, key: &str) -> Self {
        Self(digest(&[service.as_bytes(), key.as_bytes()]))
    }

    /// Partition whose log holds the key.
    pub fn partition(self) -> u32 {
        self.point() % PARTITIONS
    }

    /// First four bytes of the hash, uniformly distributed.
    pub fn point(self) -> u32 {
        let [a, b, c, d, ..] = self.0;
        u32::from_le_bytes([a, b, c, d])
    }
}

/// Hash of what must be equal in all requests with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BodyHash([u8; ID_BYTES]);

impl BodyHash {
    /// Hashes a body together with its partitioning key.
    pub fn new(partitioning_key: &str, body: &[u8]) -> Self {
        Self(digest(&[partitioning_key.as_bytes(), body]))
    }
}

/// Id of a host incarnation; a restarted host is a different runner.
pub type Runner = u64;

/// State of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Progress {
    /// Claimed by a runner, which may have dispatched it.
    Open {
        /// The only incarnation that may dispatch it.
        runner: Runner,
        /// Time since the Unix epoch after which the runner no longer dispatches it.
        deadline: Duration,
    },
    /// The request ran; the response of the target.
    Done(Vec<u8>),
    /// The request did not run and never will.
    NotRun,
}

/// Log record of one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: KeyId,
    /// Number of the attempt under the key, from 1.
    pub attempt: u32,
    /// Hash of the request body and its partitioning key.
    pub body: BodyHash,
    /// State of the attempt.
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

    /// Whether this record supersedes `other` of the same key: it is of a later attempt, or has the
    /// outcome of an open one.
    pub(crate) fn replaces(&self, other: &Self) -> bool {
        let is_open = |r: &Self| matches!(r.progress, Progress::Open { .. });
        let is_outcome = self.attempt == other.attempt && is_open(other) && !is_open(self);
        self.attempt > other.attempt || is_outcome
    }
}

/// Part of a partition's log, stored as one value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Segment {
    /// Position in the log, from 1.
    pub number: u64,
    /// Whether the segment is complete, so that the next one may be created.
    pub sealed: bool,
    /// Time of the last write, since the Unix epoch.
    pub written: Duration,
    /// Records, at most one per key; they supersede records in earlier segments.
    pub records: Vec<Record>,
}

impl Segment {
    /// Upper bound of the segment's size in the store, in bytes.
    pub fn size(&self) -> usize {
        self.records.iter().map(Record::size).sum::<usize>() + RECORD_BYTES
    }

    /// Adds a record; a record of the same key is replaced only if it is superseded.
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

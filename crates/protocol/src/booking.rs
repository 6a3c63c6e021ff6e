//! Bookings between hosts: from an entry host to the owner of the key's partition, and from there
//! to the owner of the targets.

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

/// A request that must run at most once, with its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    /// Service that is asked.
    pub service: Name,
    /// The key.
    pub key: Name,
    /// Number of the attempt under the key, from 1.
    pub attempt: u32,
    /// Text whose hash picks the shard.
    pub partition: Name,
    /// Deadline, in microseconds since the Unix epoch.
    pub deadline: u64,
    /// The caller's request.
    pub body: Vec<u8>,
}

/// A claimed attempt, to be sent to one target of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimed {
    /// Service that is asked.
    pub service: Name,
    /// Shard that is asked.
    pub shard: Name,
    /// The key.
    pub key: Name,
    /// Number of the attempt under the key.
    pub attempt: u32,
    /// Deadline, in microseconds since the Unix epoch.
    pub deadline: u64,
    /// The caller's request.
    pub body: Vec<u8>,
}

/// What a caller learns of its booking.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// It ran; the target's answer.
    Answer(Vec<u8>),
    /// The attempt did not run and never will; a repeat takes the next number.
    NotRun {
        /// Number of the attempt that did not run.
        attempt: u32,
    },
    /// An attempt is running.
    InProgress,
    /// It may have run or may still run; a retry with the same key is safe.
    Unknown,
    /// The key belongs to another request.
    OtherBody,
}

/// How a dispatched attempt ended, as far as its runner knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ended {
    /// The target's answer.
    Answer(Vec<u8>),
    /// No target has run it or will.
    NotRun,
    /// A target may have run it.
    Unknown,
}

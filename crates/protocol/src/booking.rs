//! Booking messages: from an entry host to the owner of the key's partition, and from there to the
//! owner of the targets.

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

/// Request with at-most-once execution, identified by its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    /// Requested service.
    pub service: Name,
    /// Idempotency key.
    pub key: Name,
    /// Attempt number under the key, starting at 1.
    pub attempt: u32,
    /// Partitioning key; its hash selects the shard, whereas `service` and `key` select the partition
    /// of the booking log.
    pub partition: Name,
    /// Deadline, in microseconds since the Unix epoch.
    pub deadline: u64,
    /// The caller's request.
    pub body: Vec<u8>,
}

/// Attempt claimed in the booking log, to be sent to one target of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimedBooking {
    /// Requested service.
    pub service: Name,
    /// Requested shard.
    pub shard: Name,
    /// Idempotency key.
    pub key: Name,
    /// Attempt number under the key.
    pub attempt: u32,
    /// Deadline, in microseconds since the Unix epoch.
    pub deadline: u64,
    /// The caller's request.
    pub body: Vec<u8>,
}

/// Outcome of a booking as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BookingOutcome {
    /// It ran; carries the target's response.
    Answer(Vec<u8>),
    /// The attempt did not run and never will; a retry uses the next attempt number.
    NotRun {
        /// Attempt that did not run.
        attempt: u32,
    },
    /// An attempt is running.
    InProgress,
    /// It may have run or may still run; a retry with the same key is safe.
    Unknown,
    /// The key was already used for a request with a different body or partitioning key.
    OtherBody,
}

/// Outcome of a dispatched attempt as observed by its runner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// It ran; carries the target's response.
    Answer(Vec<u8>),
    /// No target has run it or will run it.
    NotRun,
    /// A target may have run it or may still run it.
    Unknown,
}

//! Events and actions of the owner of a partition of bookings.

use std::time::Duration;

use crate::booking::{BodyHash, Ended, KeyId, Segment, Verdict};

/// Limits of a partition's log and of its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerLimits {
    /// Values of the store that hold the log.
    pub slots: u64,
    /// Size at which a segment is sealed, in bytes.
    pub segment_bytes: usize,
    /// Time for which keys are remembered at least.
    pub retention: Duration,
    /// Least time between two writes.
    pub write_interval: Duration,
    /// Time after which a failed read is repeated.
    pub retry_delay: Duration,
    /// Bookings in hand at the same time.
    pub max_active: usize,
}

/// A caller's request to book.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BookingRequest {
    /// Id of the call, for the reply.
    pub call: u64,
    /// The key.
    pub key: KeyId,
    /// Number of the attempt under the key.
    pub attempt: u32,
    /// What the request consists of.
    pub body: BodyHash,
    /// Time since the Unix epoch until which the caller waits.
    pub deadline: Duration,
}

/// What a read of a slot found.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Found {
    /// A segment with the version of the slot.
    Value(u64, Segment),
    /// Nothing was ever written there.
    Missing,
    /// The store gave no answer.
    Failed,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Written {
    /// It took effect; the slot's new version.
    Stored(u64),
    /// The slot's version was another; it did not take effect.
    Conflict,
    /// The store gave no answer; it may take effect now, later or never.
    Unknown,
}

/// What happens to the owner of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A caller asks.
    Request(BookingRequest),
    /// An [`Action::Read`] ended.
    Read(u64, Found),
    /// The last [`Action::Write`] ended.
    Written(Written),
    /// A dispatched attempt ended; comes once for every [`Action::Dispatch`].
    Ended(KeyId, Ended),
    /// Time has passed.
    Tick,
}

/// What the owner of a partition must do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read a slot of the log.
    Read(u64),
    /// Write a slot of the log if its version is the expected one.
    Write {
        /// Slot to write.
        slot: u64,
        /// Version that the slot must have.
        expected: u64,
        /// New value.
        segment: Segment,
    },
    /// Send the request to a target, once, and only before the deadline.
    Dispatch {
        /// The key.
        key: KeyId,
        /// Number of the attempt.
        attempt: u32,
        /// Call that brought the request.
        call: u64,
        /// Time since the Unix epoch after which it must not be sent.
        deadline: Duration,
    },
    /// Answer a call.
    Reply(u64, Verdict),
}

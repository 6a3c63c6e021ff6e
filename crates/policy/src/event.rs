//! Events and actions of the owner of a booking partition.

use std::time::Duration;

use crate::booking::{AttemptOutcome, BodyHash, BookingOutcome, KeyId, Segment};

/// Limits of a partition's log and of its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerLimits {
    /// Number of store values that hold the log.
    pub slots: u64,
    /// Size at which a segment is sealed.
    pub segment_bytes: usize,
    /// Minimum time for which keys are kept.
    pub retention: Duration,
    /// Minimum interval between writes.
    pub write_interval: Duration,
    /// Delay before the log is read again after a failed read or a write of unknown outcome, and
    /// minimum interval between refreshes.
    pub retry_delay: Duration,
    /// Limit of bookings handled at the same time.
    pub max_active: usize,
}

/// A caller's request to claim the idempotency key of a booking.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimRequest {
    /// Id of the call that the reply goes to.
    pub call: u64,
    /// Hash of the service and the idempotency key.
    pub key: KeyId,
    /// Number of the attempt under the key.
    pub attempt: u32,
    /// Hash of the request body and its routing partition.
    pub body: BodyHash,
    /// Deadline of the caller, since the Unix epoch.
    pub deadline: Duration,
}

/// Result of a read of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Found {
    /// Version of the slot and its segment.
    Value(u64, Segment),
    /// The slot was never written.
    Missing,
    /// The store did not respond.
    Failed,
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Written {
    /// The write took effect; the new version of the slot.
    Stored(u64),
    /// The slot had another version; the write did not take effect.
    Conflict,
    /// The store did not respond; the write may take effect now, later or never.
    Unknown,
}

/// Input of the owner of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A request arrived.
    Request(ClaimRequest),
    /// An [`Action::Read`] ended.
    Read(u64, Found),
    /// The last [`Action::Write`] ended.
    Written(Written),
    /// A dispatched attempt ended; comes once for every [`Action::Dispatch`].
    Ended(KeyId, AttemptOutcome),
    /// Time has passed.
    Tick,
}

/// An action that the host performs for the owner of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read a slot of the log.
    Read(u64),
    /// Compare-and-swap a slot of the log.
    Write {
        /// Slot to write.
        slot: u64,
        /// Expected version of the slot.
        expected: u64,
        /// New value.
        segment: Segment,
    },
    /// Send the request to a target, at most once and only before the deadline.
    Dispatch {
        /// Key of the booking.
        key: KeyId,
        /// Number of the attempt.
        attempt: u32,
        /// Call whose request is sent.
        call: u64,
        /// Time since the Unix epoch after which it must not be sent.
        deadline: Duration,
    },
    /// Reply to a call.
    Reply(u64, BookingOutcome),
}
